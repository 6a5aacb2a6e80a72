//! Drains: what takes no new work until an operator undrains it.
//!
//! Drains stand in the manifest beside the configuration text, so that they are accepted, spread
//! and kept exactly as a version of the configuration is, and a new text doesn't end them.

use crate::checked::capacity_slots;
use crate::{Configuration, Service, ZoneIndex};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Greatest number of drains in one version.
pub const MAX_DRAINS: usize = 1_000;

const MAX_NAME_BYTES: usize = 64;

/// Something that takes no new work.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(tag = "kind", content = "name", rename_all = "kebab-case")]
pub enum Drain {
    /// An entry instance, by the name that the platform gave it: look-ups don't name it.
    Instance(Arc<str>),
    /// An availability zone: look-ups name none of its instances, requests go to none of its
    /// backend servers.
    AvailabilityZone(Arc<str>),
    /// A backend server, by its address: no request goes to it.
    BackendServer(SocketAddr),
}

/// Why something can't be drained.
#[derive(Debug, Error, PartialEq)]
pub enum DrainError {
    /// There is no such kind of thing.
    #[error("`{0}` is not `instance`, `availability-zone` or `backend-server`")]
    Kind(String),
    /// A backend server is named by something else than its address.
    #[error("`{0}` is not an IP address with a port")]
    Address(String),
    /// A name is empty or too long.
    #[error("`{0}` is not a name of 1 to 64 letters, digits, `-`, `_` or `.`")]
    Name(String),
    /// The configuration has no such thing.
    #[error("the configuration has no {0}")]
    Unknown(Drain),
    /// A service would be left without backend servers.
    #[error("all backend servers of the service `{0}` would be drained; undrain one first")]
    NoBackendServer(Arc<str>),
    /// It is not drained.
    #[error("{0} is not drained")]
    NotDrained(Drain),
    /// Too many things are drained.
    #[error("{MAX_DRAINS} things are drained already; undrain those that are gone")]
    TooMany,
}

/// What is drained in one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drained {
    /// Names of entry instances.
    pub instances: Vec<Arc<str>>,
    /// Availability zones.
    pub availability_zones: Vec<ZoneIndex>,
    /// Backend servers and where they are, those of drained availability zones included.
    pub backend_servers: Vec<(SocketAddr, ZoneIndex)>,
}

impl Drain {
    /// Makes a drain of the name of its kind and the name of the thing.
    pub fn parse(kind: &str, name: &str) -> Result<Self, DrainError> {
        match kind {
            "instance" => Ok(Drain::Instance(checked_name(name)?)),
            "availability-zone" => Ok(Drain::AvailabilityZone(checked_name(name)?)),
            "backend-server" => name
                .parse()
                .map(Drain::BackendServer)
                .map_err(|_| DrainError::Address(name.to_owned())),
            _ => Err(DrainError::Kind(kind.to_owned())),
        }
    }

    /// Returns the name of its kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Drain::Instance(_) => "instance",
            Drain::AvailabilityZone(_) => "availability-zone",
            Drain::BackendServer(_) => "backend-server",
        }
    }

    /// Returns the name of the thing.
    pub fn name(&self) -> String {
        match self {
            Drain::Instance(name) | Drain::AvailabilityZone(name) => name.to_string(),
            Drain::BackendServer(address) => address.to_string(),
        }
    }

    /// Tells whether the configuration has the thing; instances are the platform's to know.
    fn is_known(&self, configuration: &Configuration) -> bool {
        match self {
            Drain::Instance(_) => true,
            Drain::AvailabilityZone(name) => configuration.zone(name).is_some(),
            Drain::BackendServer(address) => configuration
                .services
                .iter()
                .flat_map(|service| &service.sites)
                .flat_map(|site| &site.backend_servers)
                .any(|server| server.address == *address),
        }
    }
}

impl fmt::Display for Drain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind(), self.name())
    }
}

impl Drained {
    /// Tells whether look-ups leave out an instance of this name in this availability zone.
    pub fn has_instance(&self, name: &str, zone: Option<ZoneIndex>) -> bool {
        self.instances.iter().any(|drained| **drained == *name)
            || zone.is_some_and(|zone| self.availability_zones.contains(&zone))
    }

    /// Returns the drained backend servers in an availability zone.
    pub fn backend_servers_in(&self, zone: ZoneIndex) -> impl Iterator<Item = SocketAddr> {
        let here = move |server: &&(SocketAddr, ZoneIndex)| server.1 == zone;
        self.backend_servers.iter().filter(here).map(|server| server.0)
    }
}

impl Configuration {
    /// Takes what is drained out of use: its backend servers leave their sites, whose capacity
    /// shrinks with them.  A drain that names nothing here has no effect.
    pub fn apply_drains(&mut self, drains: &[Drain]) {
        for drain in drains {
            match drain {
                Drain::Instance(name) => self.drained.instances.push(name.clone()),
                Drain::AvailabilityZone(name) => {
                    self.drained.availability_zones.extend(self.zone(name));
                }
                Drain::BackendServer(_) => {}
            }
        }
        for service in &mut self.services {
            for site in &mut service.sites {
                let whole = self.drained.availability_zones.contains(&site.availability_zone);
                let leaves =
                    |address: SocketAddr| whole || drains.contains(&Drain::BackendServer(address));
                let (leaving, staying): (Vec<_>, Vec<_>) =
                    site.backend_servers.drain(..).partition(|server| leaves(server.address));
                let changed = !leaving.is_empty();
                let zone = site.availability_zone;
                let leaving = leaving.iter().map(|server| (server.address, zone));
                self.drained.backend_servers.extend(leaving);
                site.backend_servers = staying;
                if changed {
                    site.capacity_slots = capacity_slots(
                        site.backend_servers.len(),
                        service.slots_per_server,
                        service.target_utilization,
                    );
                }
            }
        }
    }

    /// Returns the drains with one more, if the configuration (without any drain) has the thing
    /// and each service keeps a backend server.
    pub fn add_drain(&self, drains: &[Drain], drain: Drain) -> Result<Vec<Drain>, DrainError> {
        if !drain.is_known(self) {
            return Err(DrainError::Unknown(drain));
        }
        let mut next = drains.to_vec();
        if drains.contains(&drain) {
            return Ok(next);
        }
        if drains.len() >= MAX_DRAINS {
            return Err(DrainError::TooMany);
        }
        next.push(drain);
        self.check_drains(&next)?;
        Ok(next)
    }

    /// Checks that the drains leave each service of this configuration a backend server.
    pub fn check_drains(&self, drains: &[Drain]) -> Result<(), DrainError> {
        let mut drained = self.clone();
        drained.apply_drains(drains);
        let is_empty =
            |service: &&Service| service.sites.iter().all(|site| site.backend_servers.is_empty());
        match drained.services.iter().find(is_empty) {
            Some(service) => Err(DrainError::NoBackendServer(service.name.clone())),
            None => Ok(()),
        }
    }
}

/// Returns the drains without one of them.
pub fn remove_drain(drains: &[Drain], drain: &Drain) -> Result<Vec<Drain>, DrainError> {
    if !drains.contains(drain) {
        return Err(DrainError::NotDrained(drain.clone()));
    }
    Ok(drains.iter().filter(|other| *other != drain).cloned().collect())
}

fn checked_name(name: &str) -> Result<Arc<str>, DrainError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        true => Err(DrainError::Name(name.to_owned())),
        false => Ok(name.into()),
    }
}
