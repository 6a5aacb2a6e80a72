//! One instance, as it tells of itself.

use super::objects::ObjectBitmap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Subjects that instances follow in the store.
pub const SUBJECTS: usize = 5;

/// What an instance says that it does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerState {
    /// It does not know enough to serve.
    Joining,
    /// It serves callers.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Requests a second that an instance takes for one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Demand {
    /// Those that may leave the region.
    pub movable_per_s: f32,
    /// Those that stay near, because of their size or as only the own region may serve them.
    pub near_per_s: f32,
    /// Those that the own region may not serve, by the lower half of the hash of the name of the region
    /// that they go to.
    pub homed_per_s: Vec<(u32, f32)>,
    /// Distinct objects that they concern, once that is known.
    pub keys: Option<u32>,
    /// Time to an answer that is warm and waited for nothing, in milliseconds, once one came.
    pub warm_ms: Option<f32>,
}

/// One instance, as it tells of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Time of its start, in milliseconds since the epoch: a later start wins.
    pub started_ms: u64,
    /// Heartbeats since then.
    pub heartbeat: u64,
    /// What it does.
    pub state: PeerState,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for datagrams of other instances.
    pub gossip_address: SocketAddr,
    /// Address at which other instances ask it for what it knows.
    pub knowledge_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Living instances that it knows, itself not among them.
    pub known: usize,
    /// Whether its last call to the platform's store was answered, or it had no cause for one.
    pub reaches_store: bool,
    /// Revisions at which what it knows changed last: configuration, backend servers, evacuations,
    /// policies, roll-outs.
    pub revisions: [u64; SUBJECTS],
    /// Its demand, by the lower half of the hash of the service's name.
    pub demand: Vec<(u32, Demand)>,
    /// Objects that its region's requests concern, by service likewise; told by the instance itself only.
    pub objects: Vec<(u32, ObjectBitmap)>,
}

impl Peer {
    /// Tells whether it serves callers.
    pub fn is_serving(&self) -> bool {
        self.state == PeerState::Serving
    }
}
