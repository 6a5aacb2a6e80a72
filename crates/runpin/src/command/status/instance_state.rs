//! Status of the configuration, capacity shares, membership and idempotency keys of an instance.

use super::format_age;
use crate::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Adoption of configuration versions by the instance.
#[derive(Debug, Deserialize)]
pub(super) struct Adoption {
    not_serving: Option<String>,
    /// Highest version number that the instance knows of, in force or not.
    highest_heard: u64,
    /// Where the version in force came from: `platform`, or the name of an instance.
    source: Option<String>,
    last_failure: Option<Failure>,
}

#[derive(Debug, Deserialize)]
struct Failure {
    kind: String,
    message: String,
    age_ms: u64,
}

impl Adoption {
    /// Returns a line with the source of the version, and one with the last failure.
    pub(super) fn summary_lines(&self) -> Vec<String> {
        let source = match (&self.source, &self.not_serving) {
            (Some(source), _) => format!("the version came from {source}"),
            (None, Some(reason)) => format!("no version yet: {reason}"),
            (None, None) => "no version yet".to_owned(),
        };
        let summary = format!("{source}; the highest heard of is {}", self.highest_heard);
        let failure = self.last_failure.as_ref().map(|failure| {
            format!(
                "last failure to adopt a version, {} ms ago: {}: {}",
                failure.age_ms, failure.kind, failure.message
            )
        });
        [summary].into_iter().chain(failure).collect()
    }
}

/// Capacity shares of the instance, and the session of its availability zone.
#[derive(Debug, Deserialize)]
pub(super) struct Shares {
    slot: Option<u32>,
    /// Time since the platform or the session holder last responded, in milliseconds.
    contact_age_ms: Option<u64>,
    session: Session,
    shares: Vec<Share>,
}

/// Session of the instance that grants shares to the others of its availability zone.
#[derive(Debug, Deserialize)]
struct Session {
    epoch: u64,
    holder: Option<String>,
    /// Whether this instance holds the session.
    held: bool,
    remaining_ms: u64,
    /// Number of instances that hold grants of this one.
    grantees: usize,
}

/// Share of a resource, in requests per second for a link and in slots for a site.
#[derive(Debug, Deserialize)]
struct Share {
    resource: Resource,
    /// Limit of the whole availability zone.
    cap: u64,
    /// Share that the instance keeps without a session holder.
    floor: u64,
    /// Share that the session holder grants.
    granted: u64,
    /// Requests sent in the last second, or slots in use.
    spent: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Resource {
    Link { to: String },
    Site { service: String, availability_zone: String },
}

impl Shares {
    /// Returns a line with the holder of the session and the slot of the instance.
    pub(super) fn summary_line(&self) -> String {
        let session = &self.session;
        let slot = self.slot.map_or_else(|| "no slot".to_owned(), |slot| format!("slot {slot}"));
        let holder = match (session.held, &session.holder) {
            (true, _) => format!(
                "held here for {} ms more, grants to {} instances",
                session.remaining_ms, session.grantees
            ),
            (false, Some(holder)) => format!("held by {holder}"),
            (false, None) => "held by nobody known".to_owned(),
        };
        let contact = format_age(self.contact_age_ms);
        format!("session epoch {} {holder}; {slot}, last contact {contact} ago", session.epoch)
    }

    /// Returns a table with a row for each link and each capped site.
    pub(super) fn table(&self) -> Table {
        let mut table = Table::new(["SHARE", "CAP", "FLOOR", "GRANTED", "SPENT"]);
        for share in &self.shares {
            let unit = share.resource.unit();
            table.add_row([
                share.resource.to_string(),
                format!("{}{unit}", share.cap),
                format!("{}{unit}", share.floor),
                format!("{}{unit}", share.granted),
                format!("{}{unit}", share.spent),
            ]);
        }
        table
    }
}

impl Resource {
    fn unit(&self) -> &'static str {
        match self {
            Resource::Link { .. } => "/s",
            Resource::Site { .. } => " slots",
        }
    }
}

impl std::fmt::Display for Resource {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Resource::Link { to } => write!(formatter, "link to {to}"),
            Resource::Site { service, availability_zone } => {
                write!(formatter, "site {service} in {availability_zone}")
            }
        }
    }
}

/// The entry instances as seen by the instance.
#[derive(Debug, Deserialize)]
pub(super) struct Membership {
    by_state: BTreeMap<String, usize>,
    unreachable_zones: Vec<String>,
    members: Vec<Member>,
}

/// An entry instance.
#[derive(Debug, Deserialize)]
pub(super) struct Member {
    name: String,
    pub(super) state: String,
    /// Time since the entry instance last described itself, in milliseconds.
    pub(super) age_ms: Option<u64>,
}

impl Membership {
    /// Returns a line with the number of instances in each state, and one with the unreachable
    /// availability zones, if any.
    pub(super) fn summary_lines(&self) -> Vec<String> {
        let states: Vec<String> =
            self.by_state.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let instances = format!("entry instances: {}", states.join(", "));
        let zones = self.unreachable_zones.join(", ");
        let unreachable =
            (!zones.is_empty()).then(|| format!("availability zones out of reach: {zones}"));
        [instances].into_iter().chain(unreachable).collect()
    }

    /// Returns the entry instance with the given name.
    pub(super) fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }
}

/// Number and size of the idempotency keys that the instance stores.
#[derive(Debug, Deserialize)]
pub(super) struct Ledger {
    keys: usize,
    max_keys: usize,
    bytes: usize,
    max_bytes: usize,
    homes: Vec<Home>,
}

/// Keys that one instance issued.
#[derive(Debug, Deserialize)]
struct Home {
    in_progress: usize,
}

impl Ledger {
    /// Returns a line with the usage of each limit.
    pub(super) fn summary_line(&self) -> String {
        let in_progress: usize = self.homes.iter().map(|home| home.in_progress).sum();
        format!(
            "idempotency keys: {} of {}, {} of {} bytes, {in_progress} in progress",
            self.keys, self.max_keys, self.bytes, self.max_bytes
        )
    }
}
