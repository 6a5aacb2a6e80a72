//! The description that an instance sends of itself.

use super::objects::ObjectBitmap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of subjects that instances watch in the store.
pub const SUBJECTS: usize = 5;

/// State that an instance reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerState {
    /// It does not know enough to serve yet.
    Joining,
    /// It serves callers.
    Serving,
    /// It finishes running requests and takes no new callers.
    Leaving,
}

/// Demand that an instance receives for one service, in requests per second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Requests that may run in another region.
    pub movable_per_s: f32,
    /// Requests that stay in the own region, because of their size or because only the own region
    /// may serve them.
    pub pinned_per_s: f32,
    /// Requests that the own region may not serve, by the lower half of the hash of the name of the
    /// region that they go to.
    pub remote_only_per_s: Vec<(u32, f32)>,
    /// Distinct objects that the requests concern, once counted.
    pub keys: Option<u32>,
    /// Time to a warm response without queueing, in milliseconds, once one was received.
    pub warm_ms: Option<f32>,
}

/// The description that an instance sends of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start time in milliseconds since the epoch; the latest start wins.
    pub started_ms: u64,
    /// Heartbeats since the start.
    pub heartbeat: u64,
    /// State of the instance.
    pub state: PeerState,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Address at which other instances request what this one knows.
    pub knowledge_address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Living instances that it knows, without itself.
    pub alive_peers: usize,
    /// Whether its last call to the platform's store succeeded, or none was needed.
    pub reaches_store: bool,
    /// Revisions at which each subject last changed, as far as the instance knows: configuration,
    /// backend servers, evacuations, policies, rollouts.
    pub revisions: [u64; SUBJECTS],
    /// Demand by the lower half of the hash of the service's name.
    pub demand: Vec<(u32, Demand)>,
    /// Objects that its region's requests concern, by the same key; sent by the instance itself
    /// only, never relayed.
    pub objects: Vec<(u32, ObjectBitmap)>,
}

impl Peer {
    /// Returns whether it serves callers.
    pub fn is_serving(&self) -> bool {
        self.state == PeerState::Serving
    }
}
