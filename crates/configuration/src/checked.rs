//! The validated configuration: every name is unique, every reference is an index.

use crate::{Drained, LinkIndex, RegionIndex, Route, ServiceIndex, SiteIndex, ZoneIndex};
use ipnet::IpNet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A deployment as described by one version of its configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Name of the deployment.
    pub name: Arc<str>,
    /// Settings of look-ups.
    pub lookup: LookupSettings,
    /// Regions, in the order written.
    pub regions: Vec<Region>,
    /// Availability zones of all regions.
    pub availability_zones: Vec<AvailabilityZone>,
    /// One-way network delays.
    pub delays: Delays,
    /// Limits on queues, waits and retries.
    pub overload: Overload,
    /// Services, in the order written.
    pub services: Vec<Service>,
    /// A link for every ordered pair of availability zones, by `from` and then `to`.
    pub links: Vec<Link>,
    /// Client blocks of the configuration text, followed by those of the chunks.
    pub client_blocks: Vec<ClientBlock>,
    /// Steering policies.
    pub policies: Vec<Policy>,
    /// Arms; the callers are divided among those that are not shadow arms.
    pub arms: Vec<Arm>,
    /// What operators drained; drained backend servers are not listed in the sites.
    pub drained: Drained,
}

/// Settings of look-ups.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupSettings {
    /// How long a caller may cache a look-up response, in milliseconds.
    pub ttl_ms: u64,
    /// Number of instances in a look-up response.
    pub instances: usize,
    /// Retention of an idempotency key, in milliseconds.
    pub idempotency_key_ttl_ms: u64,
}

/// A region and its availability zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Name of the region.
    pub name: Arc<str>,
    /// Its availability zones.
    pub availability_zones: Vec<ZoneIndex>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct AvailabilityZone {
    /// Name of the availability zone.
    pub name: Arc<str>,
    /// Region that contains it.
    pub region: RegionIndex,
}

/// One-way network delays, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delays {
    /// Between availability zones of one region.
    pub same_region_ms: f64,
    /// Between regions.
    pub between_regions_ms: f64,
    /// Between a caller and the nearest instance.
    pub client_ms: f64,
}

/// Limits that apply when demand exceeds capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Maximum number of requests that wait at one instance for one service.
    pub queue_length: usize,
    /// Maximum wait for capacity, in milliseconds.
    pub queue_wait_ms: u64,
    /// Timeout of a request that specifies none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Retries allowed, as a percentage of first attempts.
    pub retry_budget_percent: f64,
}

/// A service and the sites that run it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// `Host` header of its requests; any host when absent.
    pub host: Option<Arc<str>>,
    /// Prefix of its request paths.
    pub path_prefix: Arc<str>,
    /// Requests that one backend server runs concurrently.
    pub slots_per_server: u32,
    /// Maximum number of connections that one backend server accepts.
    pub connections_per_server: u32,
    /// Fraction of the slots that steering may fill, from 0.01 to 1.
    pub target_utilization: f64,
    /// Whether a 503 response of a backend server guarantees that the request was not run.
    pub shed_status_not_run: bool,
    /// Rules that assign request classes; the first match applies.
    pub routes: Vec<Route>,
    /// Sites, at most one per availability zone.
    pub sites: Vec<Site>,
}

/// The backend servers of one service in one availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Availability zone of the site.
    pub availability_zone: ZoneIndex,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// Slots that steering may fill: servers x slots per server x target utilization, rounded
    /// down, but at least 1 unless the site has no backend servers.
    pub capacity_slots: u32,
}

/// A backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BackendServer {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
}

/// The path from the instances of one availability zone to the backend servers of an availability
/// zone, which may be the same one.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Availability zone of the instances.
    pub from: ZoneIndex,
    /// Availability zone of the backend servers.
    pub to: ZoneIndex,
    /// Maximum number of requests in any second.
    pub cap_requests_per_s: u64,
    /// Maximum number of bytes in any second, both directions together; unlimited when absent.
    pub cap_bytes_per_s: Option<u64>,
    /// Fraction of the cap that is divided among the numbered instance slots, from 0 to 1.
    pub floor_share: f64,
    /// Number of instance slots among which the floor is divided.
    pub instance_slots: u32,
    /// Maximum change of the link's traffic per second, as a fraction of its cap.
    pub shift_share_per_s: f64,
}

/// Maps caller addresses in `block` to their nearest availability zone.
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
    /// Source text of its program.
    pub program: Arc<str>,
}

/// A fraction of the callers whose requests one policy steers.
#[derive(Clone, Debug, PartialEq)]
pub struct Arm {
    /// Name of the arm, also used in metrics.
    pub name: Arc<str>,
    /// Index of its policy in [`Configuration::policies`].
    pub policy: usize,
    /// Share of the callers, in percent; 0 for a shadow arm.
    pub share_percent: u32,
    /// Whether the arm only records the choices that it would have made.
    pub shadow: bool,
}

/// Returns the [`Site::capacity_slots`] of a site with this number of backend servers.
pub(crate) fn capacity_slots(backend_servers: usize, slots_per_server: u32, target: f64) -> u32 {
    let slots = backend_servers as f64 * f64::from(slots_per_server);
    let min_slots = u32::from(backend_servers > 0);
    ((slots * target).floor() as u32).max(min_slots)
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

    /// Finds the site of a service in an availability zone.
    pub fn site(&self, service: ServiceIndex, zone: ZoneIndex) -> Option<SiteIndex> {
        let sites = &self.services[service.get()].sites;
        sites.iter().position(|site| site.availability_zone == zone).map(SiteIndex::from)
    }
}
