//! Compact encodings of peer descriptions, for receivers that already know the instance.

use super::peer::{Demand, Peer, PeerState, SUBJECTS};
use super::rank::rank;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fixed-point scale of request rates and milliseconds; rounding costs less than a hundredth of one
/// instance's rate for the smallest service.
const FIXED_POINT_SCALE: f32 = 100.0;

/// Identifies one start of an instance in four bytes.  Two of 3,900 instances collide in one of 500
/// deployments; then each counts as alive while the other does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StartId([u8; 4]);

impl StartId {
    /// Derives the identifier from the hash of the instance's name and its start time.
    pub fn new(name_hash: u64, started_ms: u64) -> Self {
        Self((rank(started_ms, name_hash) as u32).to_le_bytes())
    }
}

/// Heartbeat counter of an instance, encoded in 6 to 9 bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The start that the counter belongs to.
    pub id: StartId,
    /// Heartbeats since the start.
    pub heartbeat: u64,
}

/// Time since a heartbeat was sent, in tenths of a second, in one byte.  Longer times saturate.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Age(u8);

impl From<Duration> for Age {
    fn from(age: Duration) -> Self {
        Self(u8::try_from((age.as_millis() + 50) / 100).unwrap_or(u8::MAX))
    }
}

impl From<Age> for Duration {
    fn from(Age(tenths): Age) -> Self {
        Duration::from_millis(100 * u64::from(tenths))
    }
}

/// The parts of a description that change, as of one heartbeat: about 50 bytes with three services,
/// compared to 170 for the whole description.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// The instance, and the heartbeat as of which it sent this.
    pub as_of: Heartbeat,
    state: PeerState,
    alive_peers: usize,
    reaches_store: bool,
    revisions: [u64; SUBJECTS],
    demand: Vec<CompactDemand>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct CompactDemand {
    service: [u8; 4],
    movable: u32,
    pinned: u32,
    remote_only: Vec<([u8; 4], u32)>,
    keys: OptionalNumber,
    warm: OptionalNumber,
}

/// An optional number, encoded in one byte less than an `Option`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct OptionalNumber(u32);

impl From<Option<u32>> for OptionalNumber {
    fn from(number: Option<u32>) -> Self {
        Self(number.map_or(0, |number| number.saturating_add(1)))
    }
}

impl From<OptionalNumber> for Option<u32> {
    fn from(OptionalNumber(number): OptionalNumber) -> Self {
        number.checked_sub(1)
    }
}

impl PeerUpdate {
    /// Compact form of the latest description of `peer`.
    pub fn new(id: StartId, peer: &Peer) -> Self {
        let to_fixed = |value: f32| (value * FIXED_POINT_SCALE).round() as u32;
        let compact = |(service, demand): &(u32, Demand)| CompactDemand {
            service: service.to_le_bytes(),
            movable: to_fixed(demand.movable_per_s),
            pinned: to_fixed(demand.pinned_per_s),
            remote_only: demand
                .remote_only_per_s
                .iter()
                .map(|(region, per_s)| (region.to_le_bytes(), to_fixed(*per_s)))
                .collect(),
            keys: demand.keys.into(),
            warm: demand.warm_ms.map(to_fixed).into(),
        };
        Self {
            as_of: Heartbeat { id, heartbeat: peer.heartbeat },
            state: peer.state,
            alive_peers: peer.alive_peers,
            reaches_store: peer.reaches_store,
            revisions: peer.revisions,
            demand: peer.demand.iter().map(compact).collect(),
        }
    }

    /// Updates a description of the same start.
    pub fn apply(self, peer: &mut Peer) {
        let from_fixed = |value: u32| value as f32 / FIXED_POINT_SCALE;
        let expand = |compact: CompactDemand| {
            let demand = Demand {
                movable_per_s: from_fixed(compact.movable),
                pinned_per_s: from_fixed(compact.pinned),
                remote_only_per_s: compact
                    .remote_only
                    .into_iter()
                    .map(|(region, per_s)| (u32::from_le_bytes(region), from_fixed(per_s)))
                    .collect(),
                keys: compact.keys.into(),
                warm_ms: Option::from(compact.warm).map(from_fixed),
            };
            (u32::from_le_bytes(compact.service), demand)
        };
        peer.heartbeat = self.as_of.heartbeat;
        peer.state = self.state;
        peer.alive_peers = self.alive_peers;
        peer.reaches_store = self.reaches_store;
        peer.revisions = self.revisions;
        peer.demand = self.demand.into_iter().map(expand).collect();
    }
}
