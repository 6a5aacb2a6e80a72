//! State of backend servers in the daemon: connects `steering::servers` with the clock, the
//! configuration and the connection pools.

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

/// Number of connections that each instance should be able to open to each backend server that it
/// uses.
const TARGET_CONNECTIONS: u32 = 2;

/// Backend servers as known to this instance, and the subsets of them that it uses.
pub struct BackendServers {
    servers: Mutex<Servers>,
    subsets: Mutex<HashMap<(ServiceIndex, SiteIndex), CachedSubset>>,
    position: Mutex<Option<(Arc<Members>, InstancePosition)>>,
}

/// A subset of a site's backend servers, with the inputs it was computed from.
struct CachedSubset {
    version_number: u64,
    position: InstancePosition,
    subset: Arc<Subset>,
}

impl BackendServers {
    /// Creates the empty state of an instance.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            servers: Mutex::new(Servers::new(incarnation.0)),
            subsets: Mutex::default(),
            position: Mutex::default(),
        }
    }

    /// Returns the subset of a site's backend servers that this instance uses.
    fn subset(
        &self,
        version: &Version,
        service: ServiceIndex,
        site: SiteIndex,
        position: InstancePosition,
    ) -> Arc<Subset> {
        let mut subsets = self.subsets.lock();
        if let Some(cached) = subsets.get(&(service, site))
            && (cached.version_number, cached.position) == (version.number, position)
        {
            return cached.subset.clone();
        }
        let settings = &version.configuration.services[service.get()];
        let servers = &settings.sites[site.get()].backend_servers;
        let limit = settings.connections_per_server;
        let subset = Arc::new(subset::for_site(servers, position, limit, TARGET_CONNECTIONS));
        let version_number = version.number;
        let cached = CachedSubset { version_number, position, subset: subset.clone() };
        subsets.insert((service, site), cached);
        subset
    }
}

/// A selected backend server, of which one slot is acquired.
pub struct SelectedServer {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Maximum number of connections of this instance to it.
    pub connections: u32,
}

impl Process {
    /// Selects a backend server of a site and acquires one of its slots.
    pub fn acquire_server(
        &self,
        version: &Version,
        service: ServiceIndex,
        site: SiteIndex,
        repeatable: bool,
    ) -> Option<SelectedServer> {
        let settings = &version.configuration.services[service.get()];
        let subset = self.backend_servers.subset(version, service, site, self.position());
        let pool = Pool {
            servers: &subset.servers,
            sites: &settings.sites,
            slots: settings.slots_per_server.min(subset.connections),
            repeatable,
        };
        let address = self.backend_servers.servers.lock().acquire(self.clock.now(), pool)?;
        Some(SelectedServer { address, connections: subset.connections })
    }

    /// Releases the slot of an exchange that ended, and records how it ended.
    pub fn release_server(&self, address: SocketAddr, report: Report) {
        let now = self.clock.now();
        let mut servers = self.backend_servers.servers.lock();
        servers.finish(now, address, report);
        let leaving = servers.is_leaving(now, address);
        drop(servers);
        if leaving {
            self.pools.retain(|other| other != address);
        }
    }

    /// Stores the platform's list of leaving backend servers and closes idle connections to them.
    pub fn set_leaving_servers(&self, leaving: &[SocketAddr]) {
        self.backend_servers.servers.lock().set_leaving(self.clock.now(), leaving);
        self.pools.expire();
        self.close_connections_to_leaving();
    }

    /// Merges another instance's own observations of backend servers.
    pub fn merge_server_findings(&self, figures: &[ServerFigure]) {
        let findings: Vec<Finding> = figures
            .iter()
            .map(|figure| Finding { address: figure.address, leaving: figure.leaving })
            .collect();
        self.backend_servers.servers.lock().merge_findings(self.clock.now(), &findings);
        self.close_connections_to_leaving();
    }

    /// Returns this instance's own observations of backend servers, for other instances.
    pub fn own_server_figures(&self) -> Vec<ServerFigure> {
        let findings = self.backend_servers.servers.lock().own_findings(self.clock.now());
        findings
            .into_iter()
            .map(|finding| ServerFigure { address: finding.address, leaving: finding.leaving })
            .collect()
    }

    /// Returns the number of this instance's requests in flight at a backend server.
    pub fn in_flight_at(&self, address: SocketAddr) -> u32 {
        self.backend_servers.servers.lock().in_flight(address)
    }

    /// Returns the status of backend servers for operators.
    pub fn server_status(&self) -> Vec<ServerStatus> {
        self.backend_servers.servers.lock().status(self.clock.now())
    }

    fn close_connections_to_leaving(&self) {
        let now = self.clock.now();
        let servers = self.backend_servers.servers.lock();
        self.pools.retain(|address| !servers.is_leaving(now, address));
    }

    /// Returns this instance's position among all known entry instances, sorted by name.
    fn position(&self) -> InstancePosition {
        let members = self.members.load();
        let Some(members) = &*members else { return InstancePosition { number: 0, instances: 1 } };
        let mut cached = self.backend_servers.position.lock();
        if let Some((cached_members, position)) = &*cached
            && Arc::ptr_eq(cached_members, members)
        {
            return *position;
        }
        let before = members.members.iter().filter(|member| member.name < self.settings.name);
        let position =
            InstancePosition { number: before.count(), instances: members.members.len().max(1) };
        *cached = Some((members.clone(), position));
        position
    }
}
