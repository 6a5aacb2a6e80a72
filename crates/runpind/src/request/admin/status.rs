//! The status of one instance and its view of the deployment.

use crate::process::Process;
use crate::process::shares::SharesStatus;
use crate::version::Version;
use configuration::Drain;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::adoption::{NotServing, Source};
use steering::ledger::LedgerStatus;
use steering::membership::MembershipStatus;
use steering::routing;
use steering::servers::ServerStatus;

/// The status of one instance, as `runpin status` shows it.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    instance: InstanceStatus,
    configuration: Option<ConfigurationStatus>,
    adoption: AdoptionStatus,
    entry_instances: Vec<MemberStatus>,
    drains: Vec<DrainStatus>,
    sites: Vec<SiteStatus>,
    backend_servers: Vec<ServerStatus>,
    shares: SharesStatus,
    routing: Arc<routing::Status>,
    membership: MembershipStatus,
    ledger: LedgerStatus,
}

/// The instance that reports its status.
#[derive(Debug, Serialize)]
struct InstanceStatus {
    name: Arc<str>,
    availability_zone: Arc<str>,
    incarnation: String,
    state: InstanceState,
    caller_address: SocketAddr,
    requests_in_flight: usize,
    software_version: &'static str,
}

/// Whether callers may be sent to an instance, and why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum InstanceState {
    /// Callers may be sent to it.
    Ready,
    /// A planned stop has begun.
    Stopping,
    /// An operator drained it or its availability zone.
    Drained,
    /// It holds neither a numbered slot nor grants.
    NoShare,
    /// It has no configuration.
    NoConfiguration,
    /// The configuration does not define its availability zone.
    UnknownAvailabilityZone,
}

/// The configuration version active at the instance.
#[derive(Debug, Serialize)]
struct ConfigurationStatus {
    name: Arc<str>,
    number: u64,
    author: Arc<str>,
    applied_at_s: u64,
}

/// How the instance obtained its configuration.
#[derive(Debug, Serialize)]
struct AdoptionStatus {
    /// Reason why no version is active; `None` if one is.
    not_serving: Option<&'static str>,
    /// Highest version number seen so far, active or not.
    highest_heard: u64,
    /// Source of the active version: `platform`, or the name of an instance.
    source: Option<Arc<str>>,
    /// The most recent failure to load a version or to reach a source.
    last_failure: Option<AdoptionFailure>,
}

/// A failure to adopt a version.
#[derive(Debug, Serialize)]
struct AdoptionFailure {
    kind: &'static str,
    number: Option<u64>,
    message: Arc<str>,
    age_ms: u64,
}

/// An entry instance, as seen by the reporting instance.
#[derive(Debug, Serialize)]
struct MemberStatus {
    name: Arc<str>,
    availability_zone: Arc<str>,
    caller_address: SocketAddr,
    usable: bool,
    drained: bool,
}

/// A drain, and this instance's requests still in flight at its target.
#[derive(Debug, Serialize)]
struct DrainStatus {
    #[serde(flatten)]
    drain: Drain,
    /// `None` if the target is another entry instance, whose requests are not known here.
    requests_in_flight: Option<usize>,
}

/// A site, and this instance's requests in flight there.
#[derive(Debug, Serialize)]
struct SiteStatus {
    service: Arc<str>,
    availability_zone: Arc<str>,
    backend_servers: usize,
    capacity_slots: u32,
    requests_in_flight: usize,
}

/// Collects the status of this instance.
pub(super) fn collect(process: &Process) -> Status {
    let version = process.version.load_full();
    let version = version.as_deref();
    Status {
        instance: InstanceStatus {
            name: process.settings.name.clone(),
            availability_zone: process.settings.availability_zone.clone(),
            incarnation: process.incarnation.to_string(),
            state: instance_state(process),
            caller_address: process.settings.caller_address,
            requests_in_flight: process.in_flight(),
            software_version: env!("CARGO_PKG_VERSION"),
        },
        configuration: version.map(|version| ConfigurationStatus {
            name: version.configuration.name.clone(),
            number: version.number,
            author: version.manifest.author.clone(),
            applied_at_s: version.manifest.applied_at_s,
        }),
        adoption: adoption_status(process),
        entry_instances: entry_instances(process, version),
        drains: version.map(|version| drains(process, version)).unwrap_or_default(),
        sites: version.map(|version| sites(process, version)).unwrap_or_default(),
        backend_servers: process.server_status(),
        shares: process.shares.status(process.clock.now()),
        routing: process.routing.status(),
        membership: process.membership_status(),
        ledger: process.ledger.status(),
    }
}

fn adoption_status(process: &Process) -> AdoptionStatus {
    let status = process.configuration.status();
    AdoptionStatus {
        not_serving: status.not_serving.map(|reason| match reason {
            NotServing::Waiting => "waiting",
            NotServing::NothingAccepted => "nothing-accepted",
            NotServing::NoSourceReachable => "nobody-in-reach",
            NotServing::LoadFailed => "does-not-load",
        }),
        highest_heard: status.highest_reported,
        source: status.source.map(|source| match source {
            Source::Platform => "platform".into(),
            Source::Peer(name) => name,
        }),
        last_failure: status.last_failure.map(|failure| AdoptionFailure {
            kind: failure.kind,
            number: failure.number,
            message: failure.message,
            age_ms: process.clock.now().since(failure.at).as_millis() as u64,
        }),
    }
}

/// Returns whether callers may be sent to this instance.
pub(super) fn instance_state(process: &Process) -> InstanceState {
    if process.is_draining() {
        return InstanceState::Stopping;
    }
    let Some(version) = process.version.load_full() else { return InstanceState::NoConfiguration };
    let drained = &version.configuration.drained;
    match version.own_zone {
        None => InstanceState::UnknownAvailabilityZone,
        zone if drained.has_instance(&process.settings.name, zone) => InstanceState::Drained,
        Some(_) if !process.shares.is_ready(process.clock.now()) => InstanceState::NoShare,
        Some(_) => InstanceState::Ready,
    }
}

fn entry_instances(process: &Process, version: Option<&Version>) -> Vec<MemberStatus> {
    let members = process.members.load_full();
    members
        .iter()
        .flat_map(|members| &members.members)
        .map(|member| MemberStatus {
            name: member.name.clone(),
            availability_zone: member.availability_zone.clone(),
            caller_address: member.caller_address,
            usable: member.usable,
            drained: version.is_some_and(|version| {
                let zone = version.configuration.zone(&member.availability_zone);
                version.configuration.drained.has_instance(&member.name, zone)
            }),
        })
        .collect()
}

fn drains(process: &Process, version: &Version) -> Vec<DrainStatus> {
    version
        .manifest
        .drains
        .iter()
        .map(|drain| DrainStatus {
            drain: drain.clone(),
            requests_in_flight: in_flight_at_drain(process, version, drain),
        })
        .collect()
}

/// Returns this instance's requests in flight at the target of a drain; `None` if not known here.
fn in_flight_at_drain(process: &Process, version: &Version, drain: &Drain) -> Option<usize> {
    match drain {
        Drain::Instance(name) if *name == process.settings.name => Some(process.in_flight()),
        Drain::Instance(_) => None,
        Drain::BackendServer(address) => Some(in_flight_at(process, [*address])),
        Drain::AvailabilityZone(name) => {
            let drained = &version.configuration.drained;
            Some(in_flight_at(
                process,
                drained.backend_servers_in(version.configuration.zone(name)?),
            ))
        }
    }
}

fn sites(process: &Process, version: &Version) -> Vec<SiteStatus> {
    let configuration = &version.configuration;
    let zones = &configuration.availability_zones;
    configuration
        .services
        .iter()
        .flat_map(|service| service.sites.iter().map(move |site| (service, site)))
        .map(|(service, site)| SiteStatus {
            service: service.name.clone(),
            availability_zone: zones[site.availability_zone.get()].name.clone(),
            backend_servers: site.backend_servers.len(),
            capacity_slots: site.capacity_slots,
            requests_in_flight: in_flight_at(
                process,
                site.backend_servers.iter().map(|server| server.address),
            ),
        })
        .collect()
}

/// Returns this instance's requests in flight at backend servers.
fn in_flight_at(process: &Process, addresses: impl IntoIterator<Item = SocketAddr>) -> usize {
    addresses.into_iter().map(|address| process.in_flight_at(address) as usize).sum()
}
