//! The daemon's view of backend servers: `steering::servers` with the clock, the connections and
//! the metrics.

use super::Process;
use super::membership::Members;
use crate::version::Version;
use configuration::{ServiceIndex, SiteIndex};
use parking_lot::Mutex;
use peer::message::ServerFigure;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Incarnation;
use steering::servers::subset::{self, InstancePosition, Subset};
use steering::servers::{Finding, Pool, Report, ServerStatus, Servers};

/// Connections that every instance should be able to open to each backend server that it uses.
const WANTED_CONNECTIONS: u32 = 2;

/// What this instance knows of backend servers.
pub struct BackendServers {
    servers: Mutex<Servers>,
    subsets: Mutex<HashMap<(ServiceIndex, SiteIndex), CachedSubset>>,
    place: Mutex<Option<(Arc<Members>, InstancePosition)>>,
}

/// A subset, and what it was computed from.
struct CachedSubset {
    version_number: u64,
    place: InstancePosition,
    subset: Arc<Subset>,
}

impl BackendServers {
    /// Makes the view of an instance that knows nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            servers: Mutex::new(Servers::new(incarnation.0)),
            subsets: Mutex::default(),
            place: Mutex::default(),
        }
    }

    /// Returns the backend servers of a site that this instance uses.
    fn subset(
        &self,
        version: &Version,
        service: ServiceIndex,
        site: SiteIndex,
        place: InstancePosition,
    ) -> Arc<Subset> {
        let mut subsets = self.subsets.lock();
        if let Some(cached) = subsets.get(&(service, site))
            && (cached.version_number, cached.place) == (version.number, place)
        {
            return cached.subset.clone();
        }
        let settings = &version.configuration.services[service.get()];
        let servers = &settings.sites[site.get()].backend_servers;
        let limit = settings.connections_per_server;
        let subset = Arc::new(subset::for_site(servers, place, limit, WANTED_CONNECTIONS));
        let version_number = version.number;
        let cached = CachedSubset { version_number, place, subset: subset.clone() };
        subsets.insert((service, site), cached);
        subset
    }
}

/// A backend server that was chosen, one of its slots taken.
pub struct Chosen {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Connections that this instance may open to it.
    pub connections: u32,
}

impl Process {
    /// Chooses a backend server of a site and takes one of its slots.
    pub fn take_server(
        &self,
        version: &Version,
        service: ServiceIndex,
        site: SiteIndex,
        repeatable: bool,
    ) -> Option<Chosen> {
        let settings = &version.configuration.services[service.get()];
        let subset = self.backend_servers.subset(version, service, site, self.place());
        let pool = Pool {
            servers: &subset.servers,
            sites: &settings.sites,
            slots: settings.slots_per_server.min(subset.connections),
            repeatable,
        };
        let address = self.backend_servers.servers.lock().acquire(self.clock.now(), pool)?;
        Some(Chosen { address, connections: subset.connections })
    }

    /// Gives back the slot of an exchange that ended.
    pub fn finish_server(&self, address: SocketAddr, report: Report) {
        let now = self.clock.now();
        let mut servers = self.backend_servers.servers.lock();
        servers.finish(now, address, report);
        let leaving = servers.is_leaving(now, address);
        drop(servers);
        if leaving {
            self.pools.retain(|other| other != address);
        }
    }

    /// Takes in the platform's list of leaving backend servers; their idle connections are closed.
    pub fn set_leaving_servers(&self, leaving: &[SocketAddr]) {
        self.backend_servers.servers.lock().set_leaving(self.clock.now(), leaving);
        self.pools.expire();
        self.close_connections_to_leaving();
    }

    /// Takes in what another instance found itself of backend servers.
    pub fn absorb_servers(&self, figures: &[ServerFigure]) {
        let findings: Vec<Finding> = figures
            .iter()
            .map(|figure| Finding { address: figure.address, leaving: figure.leaving })
            .collect();
        self.backend_servers.servers.lock().merge_findings(self.clock.now(), &findings);
        self.close_connections_to_leaving();
    }

    /// Returns what this instance found itself of backend servers, for other instances.
    pub fn own_server_figures(&self) -> Vec<ServerFigure> {
        let findings = self.backend_servers.servers.lock().own_findings(self.clock.now());
        findings
            .into_iter()
            .map(|finding| ServerFigure { address: finding.address, leaving: finding.leaving })
            .collect()
    }

    /// Returns the number of our requests in flight at a backend server.
    pub fn in_flight_at(&self, address: SocketAddr) -> u32 {
        self.backend_servers.servers.lock().in_flight(address)
    }

    /// Returns what operators are shown of backend servers.
    pub fn server_status(&self) -> Vec<ServerStatus> {
        self.backend_servers.servers.lock().status(self.clock.now())
    }

    fn close_connections_to_leaving(&self) {
        let now = self.clock.now();
        let servers = self.backend_servers.servers.lock();
        self.pools.retain(|address| !servers.is_leaving(now, address));
    }

    /// Returns this instance's place among all entry instances that are known.
    fn place(&self) -> InstancePosition {
        let members = self.members.load();
        let Some(members) = &*members else { return InstancePosition { number: 0, instances: 1 } };
        let mut cached = self.backend_servers.place.lock();
        if let Some((of, place)) = &*cached
            && Arc::ptr_eq(of, members)
        {
            return *place;
        }
        let before = members.members.iter().filter(|member| member.name < self.settings.name);
        let place =
            InstancePosition { number: before.count(), instances: members.members.len().max(1) };
        *cached = Some((members.clone(), place));
        place
    }
}
