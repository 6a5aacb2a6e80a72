//! Composition of this instance's description, and distribution of other instances' descriptions to
//! the parts of the process.

use super::Process;
use peer::message::{InstanceDigest, InstanceStatus, SiteFigure};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use steering::membership::{Aged, Description, DescriptionVersion, Status};

/// Maximum number of site figures in a description.
pub const MAX_SITES: usize = 32;

/// Maximum number of site figures in a description sent to another availability zone.
pub const MAX_SITES_ACROSS_ZONES: usize = 8;

/// Maximum number of backend servers in a description.
pub const MAX_SERVERS: usize = 32;

/// Maximum number of incarnations in a description whose ledgers the instance took over.
const MAX_TAKEN_OVER_HOMES: usize = 64;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Composes the description of this instance without site figures; the membership sets its version.
pub(super) fn compose_own(process: &Process) -> InstanceDigest {
    let version = process.version.load();
    let status = match &*version {
        _ if process.is_draining() => InstanceStatus::Draining,
        None => InstanceStatus::Joining,
        Some(_) => InstanceStatus::Serving,
    };
    let mut successor_of: Vec<u64> =
        process.ledger.taken_over_homes().into_iter().map(|home| home.0).collect();
    successor_of.truncate(MAX_TAKEN_OVER_HOMES);
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

/// Returns this instance's site figures, the busiest sites first.
///
/// Sites with neither requests in flight nor a known latency are omitted, as their slots alone do
/// not affect other instances.
pub(super) fn busiest_sites(process: &Process) -> Vec<SiteFigure> {
    let mut sites = process.own_site_figures();
    sites.retain(|site| site.in_flight > 0 || site.latency_us > 0);
    sites.sort_by_key(|site| Reverse(site.in_flight));
    sites.truncate(MAX_SITES);
    sites
}

/// Returns whether the description changed enough to start a gossip round early.
pub(super) fn differs_urgently(announced: &InstanceDigest, own: &InstanceDigest) -> bool {
    announced.status != own.status
        || announced.configuration_number != own.configuration_number
        || announced.successor_of != own.successor_of
        || announced.servers != own.servers
}

/// Passes new descriptions to the parts of the process that use them.
pub(super) fn apply_updates(process: &Process, updates: &[Aged<InstanceDigest>]) {
    for Aged { description, age } in updates {
        let digest = &description.payload;
        process.configuration.record_peer_version(&description.name, digest.configuration_number);
        // An empty list is merged too, as it means that the instance has no work.
        process.merge_site_figures(&description.name, &digest.sites, *age);
        if !digest.servers.is_empty() {
            process.merge_server_findings(&digest.servers);
        }
    }
}

/// Converts a description to its message; only the busiest sites are sent to another availability
/// zone.
pub(super) fn to_message(aged: &Aged<InstanceDigest>, same_zone: bool) -> InstanceDigest {
    let Aged { description, age } = aged;
    let payload = &description.payload;
    InstanceDigest {
        generation: description.version.generation,
        sequence: description.version.sequence,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        sites: sent_sites(payload, same_zone).to_vec(),
        ..payload.clone()
    }
}

/// Validates a received description; `None` if a name is empty or something exceeds its limit.
pub(super) fn from_message(digest: InstanceDigest) -> Option<Aged<InstanceDigest>> {
    let names = [&digest.name, &digest.availability_zone];
    let has_valid_names = names.iter().all(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
    let is_within_limits = digest.sites.len() <= MAX_SITES
        && digest.servers.len() <= MAX_SERVERS
        && digest.successor_of.len() <= MAX_TAKEN_OVER_HOMES;
    if !has_valid_names || !is_within_limits {
        return None;
    }
    let age = Duration::from_millis(digest.age_ms);
    let version = DescriptionVersion { generation: digest.generation, sequence: digest.sequence };
    let description = Description {
        name: digest.name.clone(),
        availability_zone: digest.availability_zone.clone(),
        incarnation: Incarnation(digest.incarnation),
        version,
        status: to_status(digest.status),
        caller_address: digest.caller_address,
        peer_address: digest.peer_address,
        payload: digest,
    };
    Some(Aged { description: Arc::new(description), age })
}

/// Returns the approximate size of a description in a message, in bytes.
pub fn size_bytes(description: &Description<InstanceDigest>, same_zone: bool) -> usize {
    const FIXED_BYTES: usize = 64;
    const SITE_BYTES: usize = 20;
    const SERVER_BYTES: usize = 16;
    const SUCCESSOR_BYTES: usize = 9;
    let payload = &description.payload;
    let sent = sent_sites(payload, same_zone).iter();
    let site_names = sent.map(|site| site.service.len() + site.availability_zone.len());
    let sites = site_names.map(|names| names + SITE_BYTES).sum::<usize>();
    FIXED_BYTES
        + description.name.len()
        + description.availability_zone.len()
        + sites
        + payload.servers.len() * SERVER_BYTES
        + payload.successor_of.len() * SUCCESSOR_BYTES
}

/// Returns the site figures that are sent with a description.
fn sent_sites(payload: &InstanceDigest, same_zone: bool) -> &[SiteFigure] {
    let limit = if same_zone { MAX_SITES } else { MAX_SITES_ACROSS_ZONES };
    &payload.sites[..payload.sites.len().min(limit)]
}

/// Converts a status of a message to one of the membership.
pub(super) fn to_status(status: InstanceStatus) -> Status {
    match status {
        InstanceStatus::Joining => Status::Joining,
        InstanceStatus::Serving => Status::Serving,
        InstanceStatus::Draining => Status::Draining,
    }
}
