//! Short forms of what instances pass on of each other, for readers who know the instance already.

use super::peer::{Demand, Peer, PeerState, SUBJECTS};
use super::rank::rank;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parts of a request a second, or of a millisecond, that are told: rounding takes less than a
/// hundredth of what one instance takes of the smallest service.
const PARTS: f32 = 100.0;

/// One start of one instance, in four bytes: two of 3,900 are alike once in 500 deployments, and then
/// each counts as living while the other one does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StartId([u8; 4]);

impl StartId {
    /// The start of an instance with a name of this hash.
    pub fn new(name_hash: u64, started_ms: u64) -> Self {
        Self((rank(started_ms, name_hash) as u32).to_le_bytes())
    }
}

/// That an instance lives, or lived: 6 to 9 bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Which one.
    pub id: StartId,
    /// Heartbeats since it started.
    pub heartbeat: u64,
}

/// The time for which a heartbeat has been passed on, in tenths of a second: one byte.
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

/// All that changes in the description of an instance, as of one of its heartbeats: about 50 bytes
/// with three services, where the whole description takes 170.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// Which instance, and as of which heartbeat it told this.
    pub as_of: Heartbeat,
    state: PeerState,
    alive_peers: usize,
    reaches_store: bool,
    revisions: [u64; SUBJECTS],
    demand: Vec<ShortDemand>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ShortDemand {
    service: [u8; 4],
    movable: u32,
    near: u32,
    homed: Vec<([u8; 4], u32)>,
    keys: Known,
    warm: Known,
}

/// A number that may not be known, in one byte less than an option takes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct Known(u32);

impl From<Option<u32>> for Known {
    fn from(number: Option<u32>) -> Self {
        Self(number.map_or(0, |number| number.saturating_add(1)))
    }
}

impl From<Known> for Option<u32> {
    fn from(Known(number): Known) -> Self {
        number.checked_sub(1)
    }
}

impl PeerUpdate {
    /// What `peer` told last of itself.
    pub fn new(id: StartId, peer: &Peer) -> Self {
        let parts = |value: f32| (value * PARTS).round() as u32;
        let short = |(service, demand): &(u32, Demand)| ShortDemand {
            service: service.to_le_bytes(),
            movable: parts(demand.movable_per_s),
            near: parts(demand.pinned_per_s),
            homed: demand
                .remote_only_per_s
                .iter()
                .map(|(region, per_s)| (region.to_le_bytes(), parts(*per_s)))
                .collect(),
            keys: demand.keys.into(),
            warm: demand.warm_ms.map(parts).into(),
        };
        Self {
            as_of: Heartbeat { id, heartbeat: peer.heartbeat },
            state: peer.state,
            alive_peers: peer.alive_peers,
            reaches_store: peer.reaches_store,
            revisions: peer.revisions,
            demand: peer.demand.iter().map(short).collect(),
        }
    }

    /// Brings a description of the same start up to these news.
    pub fn apply(self, peer: &mut Peer) {
        let whole = |parts: u32| parts as f32 / PARTS;
        let long = |short: ShortDemand| {
            let demand = Demand {
                movable_per_s: whole(short.movable),
                pinned_per_s: whole(short.near),
                remote_only_per_s: short
                    .homed
                    .into_iter()
                    .map(|(region, per_s)| (u32::from_le_bytes(region), whole(per_s)))
                    .collect(),
                keys: short.keys.into(),
                warm_ms: Option::from(short.warm).map(whole),
            };
            (u32::from_le_bytes(short.service), demand)
        };
        peer.heartbeat = self.as_of.heartbeat;
        peer.state = self.state;
        peer.alive_peers = self.alive_peers;
        peer.reaches_store = self.reaches_store;
        peer.revisions = self.revisions;
        peer.demand = self.demand.into_iter().map(long).collect();
    }
}
