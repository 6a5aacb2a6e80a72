//! The backend servers from the view of this instance, and the choice among them.
//!
//! Decisions are based on what this instance measures itself: requests in flight, latencies and
//! failures. Reports by others (the platform's list, other instances) can only take a backend
//! server out of use; reports of failure do so only together with a failure that this instance
//! observed.

mod ending;
mod finding;
mod phase;
pub mod picker;
mod server;
mod status;
pub mod subset;

pub use ending::{Ending, Report};
pub use finding::Finding;
pub use phase::{LeavingSignal, Phase};
pub use status::{ServerState, ServerStatus};

use crate::Time;
use configuration::{BackendServer, Site};
use picker::{Candidate, LatencyWeighted, Picker};
use server::{Access, Server};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Percentage of a service's backend servers that measurements and reports may take out of use.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// Time that a due probe waits for a repeatable request before any other request may serve as the
/// probe.
const PROBE_WAIT: Duration = Duration::from_secs(10);

/// Time after which a backend server without requests from this instance is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_secs(600);

/// State of the backend servers that this instance sends requests to.
pub struct Servers {
    servers: HashMap<SocketAddr, Server>,
    picker: Box<dyn Picker>,
}

/// The backend servers to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// The backend servers of a site, or this instance's subset of them.
    pub servers: &'a [BackendServer],
    /// All sites of the service, over which the ejection limit counts.
    pub sites: &'a [Site],
    /// Requests that each of them runs concurrently.
    pub slots: u32,
    /// Whether the request is repeatable, and thus preferred as a probe.
    pub repeatable: bool,
}

impl Servers {
    /// Creates an empty table; `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        Self::with_picker(Box::new(LatencyWeighted::new(seed)))
    }

    /// Creates an empty table with a selection policy.
    pub fn with_picker(picker: Box<dyn Picker>) -> Self {
        Self { servers: HashMap::new(), picker }
    }

    /// Chooses a backend server for a request and acquires one of its slots.
    ///
    /// Returns `None` when none may get the request now. A backend server that is due for a probe
    /// comes first, as only a request can tell whether it works again.
    pub fn acquire(&mut self, now: Time, pool: Pool<'_>) -> Option<SocketAddr> {
        self.register_servers(now, pool);
        let accesses = self.accesses(now, pool);
        let address = match probe(now, &accesses, pool) {
            Some(address) => address,
            None => self.pick(&candidates(&self.servers, &accesses, pool))?,
        };
        let reference_latency = self.reference_latency(pool, address);
        let server = self.servers.get_mut(&address)?;
        server.start(now, reference_latency);
        Some(address)
    }

    /// Releases the slot of an exchange that ended, and updates the backend server's state from its
    /// result.
    pub fn finish(&mut self, now: Time, address: SocketAddr, report: Report) {
        if let Some(server) = self.servers.get_mut(&address) {
            server.finish(now, report);
        }
    }

    /// Records which backend servers the platform lists as leaving, in place of the previous list.
    ///
    /// Also forgets those without recent requests.
    pub fn set_leaving(&mut self, now: Time, leaving: &[SocketAddr]) {
        for address in leaving {
            self.servers.entry(*address).or_insert_with(|| Server::new(now, Phase::Live));
        }
        for (address, server) in &mut self.servers {
            server.set_listed(now, leaving.contains(address));
        }
        self.servers.retain(|_, server| !server.is_expired(now, IDLE_EXPIRY));
    }

    /// Merges findings of another instance.
    pub fn merge_findings(&mut self, now: Time, findings: &[Finding]) {
        for finding in findings {
            let server = self
                .servers
                .entry(finding.address)
                .or_insert_with(|| Server::new(now, Phase::Live));
            server.merge_finding(now, finding.leaving);
        }
    }

    /// Returns the findings of this instance, for other instances.
    pub fn own_findings(&self, now: Time) -> Vec<Finding> {
        let finding = |(address, server): (&SocketAddr, &Server)| {
            let leaving = server.own_finding(now)?;
            Some(Finding { address: *address, leaving })
        };
        let mut findings: Vec<_> = self.servers.iter().filter_map(finding).collect();
        findings.sort_by_key(|finding| finding.address);
        findings
    }

    /// Returns whether a backend server is leaving, by any signal.
    pub fn is_leaving(&self, now: Time, address: SocketAddr) -> bool {
        self.servers.get(&address).is_some_and(|server| server.is_leaving(now))
    }

    /// Returns the number of this instance's requests in flight at a backend server.
    pub fn in_flight(&self, address: SocketAddr) -> u32 {
        self.servers.get(&address).map_or(0, Server::in_flight)
    }

    /// Returns the state of all backend servers for operators, by address.
    pub fn status(&self, now: Time) -> Vec<ServerStatus> {
        let mut all: Vec<_> =
            self.servers.iter().map(|(address, server)| server.status(now, *address)).collect();
        all.sort_by_key(|status| status.address);
        all
    }

    /// Adds backend servers that are seen for the first time, and updates the others.
    ///
    /// One that joins others which have already answered is considered cold.
    fn register_servers(&mut self, now: Time, pool: Pool<'_>) {
        let others_answer = pool.servers.iter().any(|server| {
            self.servers.get(&server.address).is_some_and(|server| server.latency().is_some())
        });
        let phase = if others_answer { Phase::Warming { limit: 1 } } else { Phase::Live };
        for server in pool.servers {
            self.servers.entry(server.address).or_insert_with(|| Server::new(now, phase)).update(
                now,
                pool.slots,
                others_answer,
            );
        }
    }

    /// Returns for each backend server whether it may get new requests, including the ejection
    /// limit.
    fn accesses(&self, now: Time, pool: Pool<'_>) -> Vec<(SocketAddr, Access)> {
        let mut accesses: Vec<(SocketAddr, Access)> = pool
            .servers
            .iter()
            .filter_map(|server| Some((server.address, self.access(now, server, pool.slots)?)))
            .collect();
        reopen_reported(&mut accesses, pool.slots);
        if accesses.iter().any(|(_, access)| matches!(access, Access::Ejected { .. })) {
            let reopened = self.past_ejection_limit(now, pool);
            for (address, access) in &mut accesses {
                if reopened.contains(address) {
                    *access = Access::Open { limit: pool.slots };
                }
            }
        }
        accesses
    }

    fn access(&self, now: Time, server: &BackendServer, slots: u32) -> Option<Access> {
        Some(self.servers.get(&server.address)?.access(now, slots))
    }

    /// Returns the most recently ejected backend servers of a service that exceed the ejection
    /// limit.
    fn past_ejection_limit(&self, now: Time, pool: Pool<'_>) -> Vec<SocketAddr> {
        let mut not_leaving = 0;
        let mut ejected = Vec::new();
        for server in pool.sites.iter().flat_map(|site| &site.backend_servers) {
            match self.access(now, server, pool.slots) {
                Some(Access::Leaving) => continue,
                Some(Access::Ejected { since }) => ejected.push((since, server.address)),
                Some(Access::Open { .. } | Access::Probe { .. } | Access::Reported { .. })
                | None => {}
            }
            not_leaving += 1;
        }
        ejected.sort_unstable();
        let allowed = not_leaving * MAX_EJECTED_PERCENT / 100;
        ejected.into_iter().skip(allowed).map(|(_, address)| address).collect()
    }

    fn pick(&mut self, candidates: &[Candidate]) -> Option<SocketAddr> {
        let position = self.picker.pick(candidates)?;
        candidates.get(position).map(|candidate| candidate.address)
    }

    /// Returns the mean latency of the other live backend servers.
    fn reference_latency(&self, pool: Pool<'_>, excluded: SocketAddr) -> Option<Duration> {
        let latencies: Vec<Duration> = pool
            .servers
            .iter()
            .filter(|server| server.address != excluded)
            .filter_map(|server| self.servers.get(&server.address))
            .filter(|server| server.is_live())
            .filter_map(Server::latency)
            .collect();
        let count = u32::try_from(latencies.len()).ok().filter(|count| *count > 0)?;
        Some(latencies.iter().sum::<Duration>() / count)
    }
}

impl Default for Servers {
    fn default() -> Self {
        Self::new(0)
    }
}

/// Reopens the most recently reported backend servers of a site that exceed the ejection limit.
fn reopen_reported(accesses: &mut [(SocketAddr, Access)], slots: u32) {
    let not_leaving = accesses.iter().filter(|(_, access)| *access != Access::Leaving).count();
    let in_use = |access: &Access| matches!(access, Access::Open { .. });
    let open = accesses.iter().filter(|(_, access)| in_use(access)).count();
    let needed = (not_leaving - not_leaving * MAX_EJECTED_PERCENT / 100).saturating_sub(open);
    let mut reported: Vec<(Time, usize)> = accesses
        .iter()
        .enumerate()
        .filter_map(|(position, (_, access))| match access {
            Access::Reported { since } => Some((*since, position)),
            _ => None,
        })
        .collect();
    reported.sort_unstable();
    for (_, position) in reported.into_iter().rev().take(needed) {
        accesses[position].1 = Access::Open { limit: slots };
    }
}

/// Returns the backend server that this request is to probe, if one is due.
fn probe(now: Time, accesses: &[(SocketAddr, Access)], pool: Pool<'_>) -> Option<SocketAddr> {
    let is_open = |(_, access): &(_, Access)| matches!(access, Access::Open { .. });
    let may_probe = pool.repeatable || !accesses.iter().any(is_open);
    accesses.iter().find_map(|(address, access)| match access {
        Access::Probe { due } if may_probe || now.since(*due) >= PROBE_WAIT => Some(*address),
        _ => None,
    })
}

/// Returns the backend servers that have a free slot.
fn candidates(
    servers: &HashMap<SocketAddr, Server>,
    accesses: &[(SocketAddr, Access)],
    pool: Pool<'_>,
) -> Vec<Candidate> {
    accesses
        .iter()
        .filter_map(|(address, access)| {
            let Access::Open { limit } = *access else { return None };
            let server = servers.get(address)?;
            let limit = limit.min(pool.slots);
            (server.in_flight() < limit).then_some(Candidate {
                address: *address,
                in_flight: server.in_flight(),
                limit,
                latency: server.latency(),
            })
        })
        .collect()
}
