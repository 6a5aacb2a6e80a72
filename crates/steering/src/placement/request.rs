//! The input and results of placing a request on a backend server.

use super::incarnation::Incarnation;
use super::role::Role;
use super::share_step::ShareStep;
use super::slot_counts::SlotCounts;
use crate::deployment::{AllowedRegions, RequestKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request to place on a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that runs the request.
    pub service: &'a Arc<str>,
    /// Hash of the object that the request concerns, or of the request itself.
    pub key_hash: u64,
    /// The kind of request, which tells whether it may run more than once.
    pub kind: RequestKind,
    /// Regions that may serve the request.
    pub allowed_regions: &'a AllowedRegions,
    /// Identities of backend servers that must not be chosen.
    pub excluded: &'a [Arc<str>],
    /// Time left of the latency objective.
    pub remaining_objective: Duration,
    /// Time that the request may wait for a slot even if it then misses its latency objective.
    pub min_wait_budget: Duration,
    /// Whether this is a hedged request: a first attempt is already running, so this one only goes
    /// to a backend server with ample capacity.
    pub is_hedge: bool,
}

/// The backend server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// Start time in milliseconds since the epoch; identifies the incarnation.
    pub started_ms: u64,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub availability_zone: Arc<str>,
    /// Software version of the backend server.
    pub version: Arc<str>,
    /// Whether that is the target version of a rollout.
    pub is_target: bool,
    /// Estimated number of requests at the backend server.
    pub load: f64,
    /// Slots of the backend server.
    pub slots: u32,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// Whether this instance knew that the backend server has the object in its cache.
    pub was_object_warm: bool,
}

impl Choice {
    /// The incarnation of the chosen backend server.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_ms: self.started_ms }
    }
}

/// A change in the share of the own region's requests that other regions serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Name of the service.
    pub service: Arc<str>,
    /// Fraction of the movable requests that goes to other regions.
    pub moved: f64,
    /// Fraction of the uploads that goes to other regions.
    pub moved_uploads: f64,
    /// Slots in the own region.
    pub slots: f64,
    /// Busy slots that the own region's requests would need.
    pub demand: f64,
    /// Largest number of heartbeats between the description of another instance, with its demand,
    /// and its latest heartbeat.
    pub max_description_lag: u64,
    /// Slots in the own region by what keeps them from use.
    pub slot_counts: SlotCounts,
    /// Time that a request occupies a slot, in seconds.
    pub slot_s: f64,
    /// Whether the share followed its target at once since it was last reported.
    pub step: ShareStep,
}

/// Requests of one service, counted by the region they were sent to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlacementCounts {
    /// Sent to the own region.
    pub stayed: u64,
    /// Sent to another region because the own one may not serve them.
    pub homed: u64,
    /// Sent to another region by the regional shares.
    pub moved: u64,
    /// Sent to another region because the region where they belong had no capacity.
    pub spilled: u64,
    /// Those of `spilled` for which no backend server of the region where they belong could be
    /// chosen at all.
    pub displaced: u64,
    /// Those sent to another region that waited for a new connection.
    pub opened: u64,
}

impl PlacementCounts {
    /// The requests that left the own region.
    pub fn left_region(&self) -> u64 {
        self.homed + self.moved + self.spilled
    }
}

/// Requests sent to a backend server that reports a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitUsage {
    /// Identity of the backend server.
    pub id: Arc<str>,
    /// Rate limit of the backend server over all instances, in requests per second.
    pub per_s: f64,
    /// Requests that this instance sent since the counter was last taken.
    pub sent: u64,
    /// Time since the latest response known to have reported the limit.
    pub reported_ago: Duration,
    /// Role in which this instance may send to it.
    pub role: Role,
    /// Live instances of its region that this one knows, itself included.
    pub known_instances: usize,
}

/// Error: no backend server may take the request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Time after which a slot may be free.
    pub retry_after: Duration,
    /// Backend servers left after removing those that may not be used.
    pub usable: usize,
}
