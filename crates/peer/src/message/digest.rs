//! What instances tell each other again and again.

use std::net::SocketAddr;
use std::sync::Arc;

/// What an instance knows, or the part of it that the other side lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Instances, each as it described itself.
    pub instances: Vec<InstanceDigest>,
    /// Number of the configuration version that the sender has in force; 0 for none.
    pub configuration_number: u64,
    /// Instances that someone could not reach and nobody has heard from since.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that the sender can't reach; told inside its own one only.
    pub unreachable_zones: Vec<Arc<str>>,
    /// In a request: asks for a page of an availability zone's instances.
    pub sync: Option<SyncPosition>,
    /// In a reply: the last name of the page, if there are more.
    pub more_after: Option<Arc<str>>,
}

/// Where the next page of an availability zone's instances begins.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SyncPosition {
    /// The availability zone.
    pub availability_zone: Arc<str>,
    /// The last name that is known already.
    pub after: Option<Arc<str>>,
}

/// An instance that could not be reached; a later description of its own refutes it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Suspicion {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Generation of the last description that was known.
    pub generation: u64,
    /// Sequence of the last description that was known.
    pub sequence: u64,
}

/// An instance as it described itself.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceDigest {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Order among the incarnations of one name: later ones have higher generations.
    pub generation: u64,
    /// Number of the description, growing within a generation.
    pub sequence: u64,
    /// Time since it described itself so, in milliseconds, as far as the sender knows.
    pub age_ms: u64,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// What it does.
    pub status: InstanceStatus,
    /// Number of the configuration version that it has in force; 0 for none.
    pub configuration_number: u64,
    /// Incarnations whose ledgers it took over.
    pub successor_of: Vec<u64>,
    /// Its figures for the sites that it sends to.
    pub sites: Vec<SiteFigure>,
    /// Backend servers that it found leaving or failing.
    pub servers: Vec<ServerFigure>,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum InstanceStatus {
    /// It has no configuration yet.
    Joining,
    /// It serves callers.
    Serving,
    /// It finishes what is in flight.
    Draining,
}

/// One instance's figures for one site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteFigure {
    /// The service.
    pub service: Arc<str>,
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Its requests in flight there.
    pub in_flight: u32,
    /// Slots it may use there.
    pub granted_slots: u32,
    /// Median time to an answer's head less the round trip to the site, in microseconds; 0 for
    /// unknown.
    pub latency_us: u32,
    /// Part of exchanges that failed in the last period, in thousandths.
    pub failed_per_mille: u16,
}

/// A backend server that should get no new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerFigure {
    /// The backend server.
    pub address: SocketAddr,
    /// Whether it is leaving; else it is failing.
    pub leaving: bool,
}
