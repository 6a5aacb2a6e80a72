//! Our own description, put together from the parts of the process, and what is done with the
//! descriptions of others.

use super::Process;
use peer::message::{InstanceDigest, InstanceStatus, SiteFigure};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use steering::membership::{Aged, Description, DescriptionVersion, Status};

/// Most figures for sites in a description.
pub const MAX_SITES: usize = 32;

/// Most figures for sites in a description that goes to another availability zone.
pub const MAX_SITES_BETWEEN: usize = 8;

/// Most backend servers in a description.
pub const MAX_SERVERS: usize = 32;

/// Most incarnations whose ledgers one instance took over.
const MAX_SUCCESSOR_OF: usize = 64;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Puts our own description together, but for the figures for sites; the membership gives it its
/// version.
pub(super) fn own(process: &Process) -> InstanceDigest {
    let version = process.version.load();
    let status = match &*version {
        _ if process.is_draining() => InstanceStatus::Draining,
        None => InstanceStatus::Joining,
        Some(_) => InstanceStatus::Serving,
    };
    let mut successor_of: Vec<u64> =
        process.ledger.successor_of().into_iter().map(|home| home.0).collect();
    successor_of.truncate(MAX_SUCCESSOR_OF);
    let mut servers = process.own_server_figures();
    servers.sort_by_key(|server| (!server.leaving, server.address));
    servers.truncate(MAX_SERVERS);
    InstanceDigest {
        name: process.settings.name.clone(),
        availability_zone: process.settings.availability_zone.clone(),
        incarnation: process.incarnation.0,
        generation: 0,
        sequence: 0,
        age_ms: 0,
        caller_address: process.settings.caller_address,
        peer_address: process.settings.peer_address,
        status,
        configuration_number: version.as_ref().map_or(0, |version| version.number),
        successor_of,
        sites: Vec::new(),
        servers,
    }
}

/// Returns our figures for sites, the busiest first.
///
/// A site without work or answers is left out: its slots alone change nothing at others.
pub(super) fn own_sites(process: &Process) -> Vec<SiteFigure> {
    let mut sites = process.own_sites();
    sites.retain(|site| site.in_flight > 0 || site.latency_us > 0);
    sites.sort_by_key(|site| Reverse(site.in_flight));
    sites.truncate(MAX_SITES);
    sites
}

/// Tells whether a change of our description is worth a round of its own.
pub(super) fn differs_urgently(told: &InstanceDigest, own: &InstanceDigest) -> bool {
    told.status != own.status
        || told.configuration_number != own.configuration_number
        || told.successor_of != own.successor_of
        || told.servers != own.servers
}

/// Hands descriptions that were news on to the parts of the process that use them.
pub(super) fn deliver(process: &Process, news: &[Aged<InstanceDigest>]) {
    for Aged { description, age } in news {
        let digest = &description.payload;
        process.configuration.heard(&description.name, digest.configuration_number);
        // Without any site, it says that the instance has no work.
        process.absorb_sites(&description.name, &digest.sites, *age);
        if !digest.servers.is_empty() {
            process.absorb_servers(&digest.servers);
        }
    }
}

/// Puts a description into the form of messages; only the busiest sites go to another availability
/// zone.
pub(super) fn to_message(aged: &Aged<InstanceDigest>, inside: bool) -> InstanceDigest {
    let Aged { description, age } = aged;
    let payload = &description.payload;
    InstanceDigest {
        generation: description.version.generation,
        sequence: description.version.sequence,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        sites: told_sites(payload, inside).to_vec(),
        ..payload.clone()
    }
}

/// Checks a description of another instance; `None` when something in it is larger than allowed.
pub(super) fn from_message(digest: InstanceDigest) -> Option<Aged<InstanceDigest>> {
    let names = [&digest.name, &digest.availability_zone];
    let named = names.iter().all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
    let bounded = digest.sites.len() <= MAX_SITES
        && digest.servers.len() <= MAX_SERVERS
        && digest.successor_of.len() <= MAX_SUCCESSOR_OF;
    if !named || !bounded {
        return None;
    }
    let age = Duration::from_millis(digest.age_ms);
    let version = DescriptionVersion { generation: digest.generation, sequence: digest.sequence };
    let description = Description {
        name: digest.name.clone(),
        availability_zone: digest.availability_zone.clone(),
        incarnation: Incarnation(digest.incarnation),
        version,
        status: status(digest.status),
        caller_address: digest.caller_address,
        peer_address: digest.peer_address,
        payload: digest,
    };
    Some(Aged { description: Arc::new(description), age })
}

/// Returns about how many bytes a description takes in a message.
pub fn size_bytes(description: &Description<InstanceDigest>, inside: bool) -> usize {
    const FIXED_BYTES: usize = 64;
    const SITE_BYTES: usize = 20;
    const SERVER_BYTES: usize = 16;
    const SUCCESSOR_BYTES: usize = 9;
    let payload = &description.payload;
    let told = told_sites(payload, inside).iter();
    let site_names = told.map(|site| site.service.len() + site.availability_zone.len());
    let sites = site_names.map(|names| names + SITE_BYTES).sum::<usize>();
    FIXED_BYTES
        + description.name.len()
        + description.availability_zone.len()
        + sites
        + payload.servers.len() * SERVER_BYTES
        + payload.successor_of.len() * SUCCESSOR_BYTES
}

/// Returns the figures for sites that a description carries.
fn told_sites(payload: &InstanceDigest, inside: bool) -> &[SiteFigure] {
    let most = if inside { MAX_SITES } else { MAX_SITES_BETWEEN };
    &payload.sites[..payload.sites.len().min(most)]
}

/// Returns the membership's name of a status.
pub(super) fn status(status: InstanceStatus) -> Status {
    match status {
        InstanceStatus::Joining => Status::Joining,
        InstanceStatus::Serving => Status::Serving,
        InstanceStatus::Draining => Status::Draining,
    }
}
