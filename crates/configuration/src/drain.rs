//! Drains: instances, zones and backend servers that get no new requests until they are undrained.
//!
//! Drains are part of the manifest, beside the configuration text. They are thus accepted,
//! distributed and stored like any version of the configuration, and a new text does not end them.

use crate::checked::capacity_slots;
use crate::{Configuration, Service, ZoneIndex};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of drains in one version.
pub const MAX_DRAINS: usize = 1_000;

const MAX_NAME_BYTES: usize = 64;

/// A target that gets no new requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(tag = "kind", content = "name", rename_all = "kebab-case")]
pub enum Drain {
    /// An entry instance, by the name that the platform gave it; look-ups leave it out.
    Instance(Arc<str>),
    /// An availability zone: look-ups leave out its instances, and its backend servers get no
    /// requests.
    AvailabilityZone(Arc<str>),
    /// A backend server, by its address; it gets no requests.
    BackendServer(SocketAddr),
}

/// Error of draining or undraining a target.
#[derive(Debug, Error, PartialEq)]
pub enum DrainError {
    /// The kind of the target is unknown.
    #[error("`{0}` is not `instance`, `availability-zone` or `backend-server`")]
    Kind(String),
    /// The name of a backend server is not an address with a port.
    #[error("`{0}` is not an IP address with a port")]
    Address(String),
    /// A name is empty, too long or has a character that is not allowed.
    #[error("`{0}` is not a name of 1 to 64 letters, digits, `-`, `_` or `.`")]
    Name(String),
    /// The configuration does not contain the target.
    #[error("the configuration has no {0}")]
    Unknown(Drain),
    /// The service would have no backend servers left.
    #[error("all backend servers of the service `{0}` would be drained; undrain one first")]
    NoBackendServer(Arc<str>),
    /// The target to undrain is not drained.
    #[error("{0} is not drained")]
    NotDrained(Drain),
    /// The number of drains has reached [`MAX_DRAINS`].
    #[error("{MAX_DRAINS} things are drained already; undrain those that are gone")]
    TooMany,
}

/// The drained targets of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drained {
    /// Names of entry instances.
    pub instances: Vec<Arc<str>>,
    /// Availability zones.
    pub availability_zones: Vec<ZoneIndex>,
    /// Backend servers and their availability zones, including those of drained zones.
    pub backend_servers: Vec<(SocketAddr, ZoneIndex)>,
}

impl Drain {
    /// Parses the kind of a target and its name or address.
    pub fn parse(kind: &str, name: &str) -> Result<Self, DrainError> {
        match kind {
            "instance" => Ok(Drain::Instance(validate_name(name)?)),
            "availability-zone" => Ok(Drain::AvailabilityZone(validate_name(name)?)),
            "backend-server" => name
                .parse()
                .map(Drain::BackendServer)
                .map_err(|_| DrainError::Address(name.to_owned())),
            _ => Err(DrainError::Kind(kind.to_owned())),
        }
    }

    /// Returns the kind of the target, as in [`Drain::parse`].
    pub fn kind(&self) -> &'static str {
        match self {
            Drain::Instance(_) => "instance",
            Drain::AvailabilityZone(_) => "availability-zone",
            Drain::BackendServer(_) => "backend-server",
        }
    }

    /// Returns the name or address of the target.
    pub fn name(&self) -> String {
        match self {
            Drain::Instance(name) | Drain::AvailabilityZone(name) => name.to_string(),
            Drain::BackendServer(address) => address.to_string(),
        }
    }

    /// Returns whether the configuration contains the target; always true for an instance, as only
    /// the platform knows the instances.
    fn exists_in(&self, configuration: &Configuration) -> bool {
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
    /// Returns whether an instance is drained, by its name or with its availability zone.
    pub fn has_instance(&self, name: &str, zone: Option<ZoneIndex>) -> bool {
        self.instances.iter().any(|drained| **drained == *name)
            || zone.is_some_and(|zone| self.availability_zones.contains(&zone))
    }

    /// Returns the drained backend servers in an availability zone.
    pub fn backend_servers_in(&self, zone: ZoneIndex) -> impl Iterator<Item = SocketAddr> {
        let is_in_zone = move |server: &&(SocketAddr, ZoneIndex)| server.1 == zone;
        self.backend_servers.iter().filter(is_in_zone).map(|server| server.0)
    }
}

impl Configuration {
    /// Applies drains: removes drained backend servers from their sites and reduces the capacity of
    /// these. A drain whose target the configuration does not contain has no effect.
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
                let is_zone_drained =
                    self.drained.availability_zones.contains(&site.availability_zone);
                let is_drained = |address: SocketAddr| {
                    is_zone_drained || drains.contains(&Drain::BackendServer(address))
                };
                let (drained, remaining): (Vec<_>, Vec<_>) =
                    site.backend_servers.drain(..).partition(|server| is_drained(server.address));
                let has_changed = !drained.is_empty();
                let zone = site.availability_zone;
                let drained = drained.iter().map(|server| (server.address, zone));
                self.drained.backend_servers.extend(drained);
                site.backend_servers = remaining;
                if has_changed {
                    site.capacity_slots = capacity_slots(
                        site.backend_servers.len(),
                        service.slots_per_server,
                        service.target_utilization,
                    );
                }
            }
        }
    }

    /// Returns `drains` with `drain` added, if the configuration (without any drains applied)
    /// contains the target and every service keeps a backend server.
    ///
    /// A drain that is already in the list is not added again.
    pub fn add_drain(&self, drains: &[Drain], drain: Drain) -> Result<Vec<Drain>, DrainError> {
        if !drain.exists_in(self) {
            return Err(DrainError::Unknown(drain));
        }
        let mut next_drains = drains.to_vec();
        if drains.contains(&drain) {
            return Ok(next_drains);
        }
        if drains.len() >= MAX_DRAINS {
            return Err(DrainError::TooMany);
        }
        next_drains.push(drain);
        self.check_drains(&next_drains)?;
        Ok(next_drains)
    }

    /// Checks that every service keeps a backend server with `drains` applied.
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

/// Returns `drains` without `drain`.
pub fn remove_drain(drains: &[Drain], drain: &Drain) -> Result<Vec<Drain>, DrainError> {
    if !drains.contains(drain) {
        return Err(DrainError::NotDrained(drain.clone()));
    }
    Ok(drains.iter().filter(|other| *other != drain).cloned().collect())
}

fn validate_name(name: &str) -> Result<Arc<str>, DrainError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        true => Err(DrainError::Name(name.to_owned())),
        false => Ok(name.into()),
    }
}
