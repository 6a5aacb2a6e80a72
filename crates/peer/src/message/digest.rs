//! Membership and load state that instances gossip.

use std::net::SocketAddr;
use std::sync::Arc;

/// The state of an instance, or the part of it that the receiver does not have yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Instances, each with its latest own description.
    pub instances: Vec<InstanceDigest>,
    /// Number of the configuration version that is active at the sender; 0 for none.
    pub configuration_number: u64,
    /// Instances that some instance could not reach and that have sent nothing since.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that the sender can't reach; sent only within its own zone.
    pub unreachable_zones: Vec<Arc<str>>,
    /// In a request: the page of an availability zone's instances to return.
    pub sync: Option<SyncPosition>,
    /// In a reply: the last name of the page, if more pages follow.
    pub more_after: Option<Arc<str>>,
}

/// Start of the next page of an availability zone's instances.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SyncPosition {
    /// The availability zone.
    pub availability_zone: Arc<str>,
    /// The last name already received; the page starts after it.
    pub after: Option<Arc<str>>,
}

/// An instance that could not be reached; a newer description by that instance refutes it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Suspicion {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Generation of its last known description.
    pub generation: u64,
    /// Sequence number of its last known description.
    pub sequence: u64,
}

/// An instance's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceDigest {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Id of the running process; a restart gets another.
    pub incarnation: u64,
    /// Orders the incarnations of one name: a later one has a higher generation.
    pub generation: u64,
    /// Number of the description, increasing within a generation.
    pub sequence: u64,
    /// Age of the description at the sender, in milliseconds.
    pub age_ms: u64,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for other instances.
    pub peer_address: SocketAddr,
    /// Its lifecycle state.
    pub status: InstanceStatus,
    /// Number of the configuration version that is active at it; 0 for none.
    pub configuration_number: u64,
    /// Incarnations whose ledgers it took over.
    pub successor_of: Vec<u64>,
    /// Its measurements of the sites that it sends requests to.
    pub sites: Vec<SiteFigure>,
    /// Backend servers that it detected as leaving or failing.
    pub servers: Vec<ServerFigure>,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum InstanceStatus {
    /// It has no configuration yet.
    Joining,
    /// It accepts requests from callers.
    Serving,
    /// It only completes requests in flight.
    Draining,
}

/// One instance's measurements of one site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteFigure {
    /// The service.
    pub service: Arc<str>,
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Its requests in flight at the site.
    pub in_flight: u32,
    /// Slots that it may use at the site.
    pub granted_slots: u32,
    /// Median time to the response head minus the round trip to the site, in microseconds; 0 when
    /// unknown.
    pub latency_us: u32,
    /// Share of exchanges that failed in the last period, in thousandths.
    pub failed_per_mille: u16,
}

/// A backend server that should get no new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerFigure {
    /// The backend server.
    pub address: SocketAddr,
    /// Whether it is leaving; otherwise it is failing.
    pub leaving: bool,
}
