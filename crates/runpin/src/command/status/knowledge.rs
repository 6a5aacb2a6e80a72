//! What an instance knows of its configuration, its shares, other instances and keys.

use super::age;
use crate::table::Table;
use serde::Deserialize;
use std::collections::BTreeMap;

/// How the instance comes by its configuration.
#[derive(Debug, Deserialize)]
pub(super) struct Adoption {
    not_serving: Option<String>,
    highest_heard: u64,
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
    /// Returns where the version came from, and what failed last.
    pub(super) fn lines(&self) -> Vec<String> {
        let source = match (&self.source, &self.not_serving) {
            (Some(source), _) => format!("the version came from {source}"),
            (None, Some(reason)) => format!("no version yet: {reason}"),
            (None, None) => "no version yet".to_owned(),
        };
        let heard = format!("{source}; the highest heard of is {}", self.highest_heard);
        let failure = self.last_failure.as_ref().map(|failure| {
            format!(
                "last failure to adopt a version, {} ms ago: {}: {}",
                failure.age_ms, failure.kind, failure.message
            )
        });
        [heard].into_iter().chain(failure).collect()
    }
}

/// The shares of the instance and the session of its availability zone.
#[derive(Debug, Deserialize)]
pub(super) struct Shares {
    slot: Option<u32>,
    contact_age_ms: Option<u64>,
    session: Session,
    shares: Vec<Share>,
}

#[derive(Debug, Deserialize)]
struct Session {
    epoch: u64,
    holder: Option<String>,
    held: bool,
    remaining_ms: u64,
    grantees: usize,
}

#[derive(Debug, Deserialize)]
struct Share {
    resource: Resource,
    cap: u64,
    floor: u64,
    granted: u64,
    spent: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Resource {
    Link { to: String },
    Site { service: String, availability_zone: String },
}

impl Shares {
    /// Returns who holds the session, and the instance's slot.
    pub(super) fn line(&self) -> String {
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
        let contact = age(self.contact_age_ms);
        format!("session epoch {} {holder}; {slot}, last contact {contact} ago", session.epoch)
    }

    /// Returns a row for each link and each capped site.
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

/// The entry instances as this one sees them.
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
    pub(super) age_ms: Option<u64>,
}

impl Membership {
    /// Returns how many instances are in each state, and which availability zones can't be reached.
    pub(super) fn lines(&self) -> Vec<String> {
        let states: Vec<String> =
            self.by_state.iter().map(|(state, count)| format!("{count} {state}")).collect();
        let instances = format!("entry instances: {}", states.join(", "));
        let zones = self.unreachable_zones.join(", ");
        let lost = (!zones.is_empty()).then(|| format!("availability zones out of reach: {zones}"));
        [instances].into_iter().chain(lost).collect()
    }

    /// Returns the entry instance with a name.
    pub(super) fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }
}

/// The idempotency keys that the instance remembers.
#[derive(Debug, Deserialize)]
pub(super) struct Ledger {
    keys: usize,
    max_keys: usize,
    bytes: usize,
    max_bytes: usize,
    homes: Vec<Home>,
}

#[derive(Debug, Deserialize)]
struct Home {
    in_progress: usize,
}

impl Ledger {
    /// Returns how much of its limits is used.
    pub(super) fn line(&self) -> String {
        let in_progress: usize = self.homes.iter().map(|home| home.in_progress).sum();
        format!(
            "idempotency keys: {} of {}, {} of {} bytes, {in_progress} in progress",
            self.keys, self.max_keys, self.bytes, self.max_bytes
        )
    }
}
