//! What a request asks of the roster, and what it is told.

use super::incarnation::Incarnation;
use crate::deployment::{AllowedRegions, RequestKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that runs it.
    pub service: &'a Arc<str>,
    /// Hash of the object that it concerns, or of the request.
    pub key_hash: u64,
    /// Whether it may run more than once.
    pub kind: RequestKind,
    /// Regions that may serve it.
    pub allowed_regions: &'a AllowedRegions,
    /// Backend servers that it must not go to.
    pub excluded: &'a [Arc<str>],
    /// Time that is left of its latency objective.
    pub remaining_objective: Duration,
    /// Time that it may wait for a slot even if its latency objective is missed then.
    pub min_wait_budget: Duration,
    /// Whether it only goes where there is much room: it is at a backend server already.
    pub is_hedge: bool,
}

/// The backend server that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its identity.
    pub id: Arc<str>,
    /// Time of its start, which tells its incarnation.
    pub born_ms: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Whether that is the version that is brought in.
    pub is_target: bool,
    /// Estimate of the requests there.
    pub load: f64,
    /// Its slots.
    pub slots: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether this instance knew that it has the object warm.
    pub known_warm: bool,
}

impl Choice {
    /// The start of the backend server that was chosen.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born_ms: self.born_ms }
    }
}

/// A share of the own region's requests that has moved.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: Arc<str>,
    /// Part of the movable requests that goes to other regions.
    pub moved: f64,
    /// Slots of the own region.
    pub slots: f64,
    /// Busy slots that the own region's requests would need.
    pub demand: f64,
    /// Versions, of heartbeats and news, that the oldest demand of another instance is behind.
    pub stale_beats: u64,
}

/// Requests of one service, by where they were sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlacementCounts {
    /// To the own region.
    pub stayed: u64,
    /// To another one, as they may not run in the own one.
    pub homed: u64,
    /// To another one, by the moved shares.
    pub moved: u64,
    /// To another one, as where they belong there was no room.
    pub spilled: u64,
    /// Those sent to another one that had to wait until a connection came up.
    pub opened: u64,
}

impl PlacementCounts {
    /// Those that left the own region.
    pub fn left_region(&self) -> u64 {
        self.homed + self.moved + self.spilled
    }
}

/// Requests that were sent to a backend server that names a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitUsage {
    /// Its identity.
    pub id: Arc<str>,
    /// Requests a second that it takes from all instances together.
    pub per_s: f64,
    /// Requests that this instance sent since that was taken last.
    pub sent: u64,
    /// Time since the latest answer that is known to have named it.
    pub reported_ago: Duration,
}

/// No backend server may take a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Time after which there may be room.
    pub retry_after: Duration,
    /// Backend servers that were left after those that may not be used.
    pub usable: usize,
}
