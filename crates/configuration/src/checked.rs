//! The checked configuration: every name is unique, every reference is an index.

use crate::{Drained, LinkIndex, RegionIndex, Route, ServiceIndex, SiteIndex, ZoneIndex};
use ipnet::IpNet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A whole deployment, as one version of its configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Name of the deployment.
    pub name: Arc<str>,
    /// What look-ups answer.
    pub lookup: LookupSettings,
    /// Regions, in the order written.
    pub regions: Vec<Region>,
    /// Availability zones of all regions.
    pub availability_zones: Vec<AvailabilityZone>,
    /// One-way delays.
    pub delays: Delays,
    /// Limits of queues, waits and retries.
    pub overload: Overload,
    /// Services, in the order written.
    pub services: Vec<Service>,
    /// A link for every ordered pair of availability zones, by `from` and then `to`.
    pub links: Vec<Link>,
    /// Client blocks written in the configuration itself.
    pub client_blocks: Vec<ClientBlock>,
    /// Steering policies.
    pub policies: Vec<Policy>,
    /// Arms, of which those that are not shadow arms share the callers.
    pub arms: Vec<Arm>,
    /// What operators drained; its backend servers are not in the sites above.
    pub drained: Drained,
}

/// What look-ups answer.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupSettings {
    /// How long a caller may use an answer, in milliseconds.
    pub ttl_ms: u64,
    /// Number of instances in an answer.
    pub instances: usize,
    /// How long an idempotency key is remembered, in milliseconds.
    pub idempotency_key_ttl_ms: u64,
}

/// A region and its availability zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Name of the region.
    pub name: Arc<str>,
    /// The availability zones in it.
    pub availability_zones: Vec<ZoneIndex>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct AvailabilityZone {
    /// Name of the availability zone.
    pub name: Arc<str>,
    /// The region it lies in.
    pub region: RegionIndex,
}

/// One-way delays, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Between availability zones of one region.
    pub same_region_ms: f64,
    /// Between regions.
    pub between_regions_ms: f64,
    /// Between a caller and the nearest instance.
    pub client_ms: f64,
}

/// Limits that hold when there is more work than capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Number of requests that one instance lets wait per service.
    pub queue_length: usize,
    /// Longest wait for capacity, in milliseconds.
    pub queue_wait_ms: u64,
    /// Timeout of a request that names none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Retries allowed, as a percentage of first attempts.
    pub retry_budget_percent: f64,
}

/// A service and the sites that run it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// `Host` that selects it; any host when absent.
    pub host: Option<Arc<str>>,
    /// Leading part of the paths it owns.
    pub path_prefix: Arc<str>,
    /// Requests that one backend server runs at once.
    pub slots_per_server: u32,
    /// Connections that one backend server accepts.
    pub connections_per_server: u32,
    /// Part of the slots that steering may fill, above 0 and at most 1.
    pub target_utilization: f64,
    /// Whether a 503 answer of a backend server promises that the request was not run.
    pub shed_status_not_run: bool,
    /// Rules that give requests their class.
    pub routes: Vec<Route>,
    /// Sites, at most one for each availability zone.
    pub sites: Vec<Site>,
}

/// The backend servers of one service in one availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Where the site is.
    pub availability_zone: ZoneIndex,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// Slots that steering may fill: servers x slots x target, rounded down, at least 1 but for a
    /// site without backend servers.
    pub capacity_slots: u32,
}

/// A backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BackendServer {
    /// Where it accepts requests.
    pub address: SocketAddr,
}

/// The path from the instances of one availability zone to the backend servers of another.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Availability zone of the instances.
    pub from: ZoneIndex,
    /// Availability zone of the backend servers.
    pub to: ZoneIndex,
    /// Requests allowed in any second.
    pub cap_requests_per_s: u64,
    /// Bytes allowed in any second, both ways together; unlimited when absent.
    pub cap_bytes_per_s: Option<u64>,
    /// Part of the cap that is fixed to the numbered slots, from 0 to 1.
    pub floor_share: f64,
    /// Number of numbered slots among which the floor is divided.
    pub instance_slots: u32,
    /// Largest change of the link's traffic in one second, as a part of its cap.
    pub shift_share_per_s: f64,
}

/// Callers with addresses in `block` are nearest to `availability_zone`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientBlock {
    /// Block of caller addresses.
    pub block: IpNet,
    /// The nearest availability zone.
    pub availability_zone: ZoneIndex,
}

/// A steering policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Name of the policy.
    pub name: Arc<str>,
    /// Text of its program.
    pub program: Arc<str>,
}

/// A part of the callers that one policy steers.
#[derive(Clone, Debug, PartialEq)]
pub struct Arm {
    /// Name of the arm, as in metrics.
    pub name: Arc<str>,
    /// Position of its policy in [`Configuration::policies`].
    pub policy: usize,
    /// Part of the callers, in percent; 0 for a shadow arm.
    pub share_percent: u32,
    /// Whether the arm only records what it would have done.
    pub shadow: bool,
}

/// Returns the slots that steering may fill at a site with this many backend servers.
pub(crate) fn capacity_slots(backend_servers: usize, slots_per_server: u32, target: f64) -> u32 {
    let slots = backend_servers as f64 * f64::from(slots_per_server);
    let least = u32::from(backend_servers > 0);
    ((slots * target).floor() as u32).max(least)
}

impl Configuration {
    /// Finds an availability zone by name.
    pub fn zone(&self, name: &str) -> Option<ZoneIndex> {
        self.availability_zones.iter().position(|zone| &*zone.name == name).map(ZoneIndex::from)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<ServiceIndex> {
        self.services.iter().position(|service| &*service.name == name).map(ServiceIndex::from)
    }

    /// Returns the link between two availability zones.
    pub fn link(&self, from: ZoneIndex, to: ZoneIndex) -> LinkIndex {
        LinkIndex::from(from.get() * self.availability_zones.len() + to.get())
    }

    /// Returns the one-way delay between two availability zones, in milliseconds.
    pub fn delay_ms(&self, from: ZoneIndex, to: ZoneIndex) -> f64 {
        let zones = &self.availability_zones;
        match (from == to, zones[from.get()].region == zones[to.get()].region) {
            (true, _) => 0.0,
            (false, true) => self.delays.same_region_ms,
            (false, false) => self.delays.between_regions_ms,
        }
    }

    /// Returns the site of a service in an availability zone.
    pub fn site(&self, service: ServiceIndex, zone: ZoneIndex) -> Option<SiteIndex> {
        let sites = &self.services[service.get()].sites;
        sites.iter().position(|site| site.availability_zone == zone).map(SiteIndex::from)
    }
}
