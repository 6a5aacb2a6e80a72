//! The backend servers as this instance sees them, and the choice among them.
//!
//! What this instance measured itself (its requests in flight, answer times, failures) decides.
//! What others report (the platform's list, other instances) can only take a backend server out of
//! use, and reports of failure only together with a failure of our own.

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

/// Part of a service's backend servers that measurements and reports may take out of use, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// How long a probe waits for a request that may be repeated before any other serves as one.
const PROBE_PATIENCE: Duration = Duration::from_secs(10);

/// How long a backend server without work of ours is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// What this instance knows of the backend servers that it sends to.
pub struct Servers {
    servers: HashMap<SocketAddr, Server>,
    picker: Box<dyn Picker>,
}

/// The backend servers among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// The backend servers of a site, or our subset of them.
    pub servers: &'a [BackendServer],
    /// All sites of the service, over which the ejection limit counts.
    pub sites: &'a [Site],
    /// Requests that one of them runs at once.
    pub slots: u32,
    /// Whether the request may be repeated, and so is the first choice for a probe.
    pub repeatable: bool,
}

impl Servers {
    /// Makes an empty view whose choice by chance starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Self::with_picker(Box::new(LatencyWeighted::new(seed)))
    }

    /// Makes an empty view with a method of choice.
    pub fn with_picker(picker: Box<dyn Picker>) -> Self {
        Self { servers: HashMap::new(), picker }
    }

    /// Chooses a backend server for a request and takes one of its slots.
    ///
    /// Returns `None` when none may take it now.  A backend server that is due for a probe comes
    /// first, as only a request can tell whether it works again.
    pub fn acquire(&mut self, now: Time, pool: Pool<'_>) -> Option<SocketAddr> {
        self.meet(now, pool);
        let accesses = self.accesses(now, pool);
        let address = match probe(now, &accesses, pool) {
            Some(address) => address,
            None => self.pick(&candidates(&self.servers, &accesses, pool))?,
        };
        let reference = self.reference(pool, address);
        let server = self.servers.get_mut(&address)?;
        server.start(now, reference);
        Some(address)
    }

    /// Gives back the slot of an exchange that ended, and learns from how it ended.
    pub fn finish(&mut self, now: Time, address: SocketAddr, report: Report) {
        if let Some(server) = self.servers.get_mut(&address) {
            server.finish(now, report);
        }
    }

    /// Records which backend servers the platform lists as leaving, in place of the last list.
    ///
    /// Also forgets those that had no work of ours for long.
    pub fn set_leaving(&mut self, now: Time, leaving: &[SocketAddr]) {
        for address in leaving {
            self.servers.entry(*address).or_insert_with(|| Server::new(now, Phase::Live));
        }
        for (address, server) in &mut self.servers {
            server.set_listed(now, leaving.contains(address));
        }
        self.servers.retain(|_, server| !server.is_forgettable(now, FORGET_AFTER));
    }

    /// Takes in what another instance found itself.
    pub fn merge_findings(&mut self, now: Time, findings: &[Finding]) {
        for finding in findings {
            let server = self
                .servers
                .entry(finding.address)
                .or_insert_with(|| Server::new(now, Phase::Live));
            server.merge_finding(now, finding.leaving);
        }
    }

    /// Returns what this instance found itself, for other instances.
    pub fn own_findings(&self, now: Time) -> Vec<Finding> {
        let finding = |(address, server): (&SocketAddr, &Server)| {
            let leaving = server.own_finding(now)?;
            Some(Finding { address: *address, leaving })
        };
        let mut findings: Vec<_> = self.servers.iter().filter_map(finding).collect();
        findings.sort_by_key(|finding| finding.address);
        findings
    }

    /// Tells whether a backend server is leaving, by whatever sign.
    pub fn is_leaving(&self, now: Time, address: SocketAddr) -> bool {
        self.servers.get(&address).is_some_and(|server| server.is_leaving(now))
    }

    /// Returns the number of our requests in flight at a backend server.
    pub fn in_flight(&self, address: SocketAddr) -> u32 {
        self.servers.get(&address).map_or(0, Server::in_flight)
    }

    /// Returns what operators are shown, by address.
    pub fn status(&self, now: Time) -> Vec<ServerStatus> {
        let mut all: Vec<_> =
            self.servers.iter().map(|(address, server)| server.status(now, *address)).collect();
        all.sort_by_key(|status| status.address);
        all
    }

    /// Makes the backend servers known that are seen for the first time.
    ///
    /// One that joins others that already answer is taken for cold.
    fn meet(&mut self, now: Time, pool: Pool<'_>) {
        let others_answer = pool.servers.iter().any(|server| {
            self.servers.get(&server.address).is_some_and(|server| server.latency().is_some())
        });
        let phase = if others_answer { Phase::Warming { limit: 1 } } else { Phase::Live };
        for server in pool.servers {
            self.servers.entry(server.address).or_insert_with(|| Server::new(now, phase)).settle(
                now,
                pool.slots,
                others_answer,
            );
        }
    }

    /// Tells for each backend server whether it may get new work, ejection limit included.
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

    /// Returns the backend servers of a service that were ejected last, past the limit.
    fn past_ejection_limit(&self, now: Time, pool: Pool<'_>) -> Vec<SocketAddr> {
        let mut staying = 0;
        let mut ejected = Vec::new();
        for server in pool.sites.iter().flat_map(|site| &site.backend_servers) {
            match self.access(now, server, pool.slots) {
                Some(Access::Leaving) => continue,
                Some(Access::Ejected { since }) => ejected.push((since, server.address)),
                Some(Access::Open { .. } | Access::Probe { .. } | Access::Reported { .. })
                | None => {}
            }
            staying += 1;
        }
        ejected.sort_unstable();
        let allowed = staying * MAX_EJECTED_PERCENT / 100;
        ejected.into_iter().skip(allowed).map(|(_, address)| address).collect()
    }

    fn pick(&mut self, candidates: &[Candidate]) -> Option<SocketAddr> {
        let position = self.picker.pick(candidates)?;
        candidates.get(position).map(|candidate| candidate.address)
    }

    /// Returns the mean answer time of the other backend servers that are live.
    fn reference(&self, pool: Pool<'_>, except: SocketAddr) -> Option<Duration> {
        let latencies: Vec<Duration> = pool
            .servers
            .iter()
            .filter(|server| server.address != except)
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

/// Reopens the backend servers of a site that were reported last, past the ejection limit.
fn reopen_reported(accesses: &mut [(SocketAddr, Access)], slots: u32) {
    let staying = accesses.iter().filter(|(_, access)| *access != Access::Leaving).count();
    let in_use = |access: &Access| matches!(access, Access::Open { .. });
    let open = accesses.iter().filter(|(_, access)| in_use(access)).count();
    let needed = (staying - staying * MAX_EJECTED_PERCENT / 100).saturating_sub(open);
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
    let eager = pool.repeatable || !accesses.iter().any(is_open);
    accesses.iter().find_map(|(address, access)| match access {
        Access::Probe { due } if eager || now.since(*due) >= PROBE_PATIENCE => Some(*address),
        _ => None,
    })
}

/// Returns the backend servers that have room.
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
