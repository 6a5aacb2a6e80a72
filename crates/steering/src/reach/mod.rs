//! Whether this instance reaches the backend servers.
//!
//! An instance sees a backend server only through its own path to it: a server that has failed and
//! a path that is cut look the same.  What tells them apart is how many servers fail together.  A
//! scope holds the servers that failed since any server of it last succeeded; once these are several,
//! or all that there are, of other regions too, and a check failed, the instance counts as cut off
//! from the scope, and sends through other instances that are not ([`crate::placement::Peers::stand_ins`]).  If these
//! can't reach a server either, the server has failed, and no longer counts.
//!
//! There is a scope of all servers and one for each service, each for exchanges and for new
//! connections: open connections may live on while new ones fail.  A new connection succeeds with its
//! first response, as what accepts it may reset it before that.

mod failure;
pub mod reports;
mod returning;
mod scope;

pub use failure::Failure;
pub use reports::ReachReports;
pub use scope::{Change, ChangeKind, MIN_FAILED_SERVERS};

use crate::placement::Incarnation;
use scope::{Required, Scope, ScopeState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Times the usual gap between responses after which there should have been one: with random gaps
/// this is exceeded once in 3,000 gaps.
const DROUGHT_GAPS: f64 = 8.0;

/// Shortest time without responses that is conspicuous.
const MIN_DROUGHT: Duration = Duration::from_millis(400);

/// How a request gets to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Over a connection of this instance.
    Direct,
    /// Over an open connection of this instance, or through another instance if there is none.
    OpenConnectionsOnly,
    /// Through another instance.
    StandIn {
        /// Whether nothing has succeeded for some time, so that without another instance the request is
        /// refused.
        is_confirmed: bool,
    },
}

/// Servers that an instance may send to, by scope.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerCounts {
    /// Servers of the service.
    pub of_service: usize,
    /// Servers of all services.
    pub all: usize,
    /// Servers of the service in other regions.
    pub elsewhere_of_service: usize,
    /// Servers of all services in other regions.
    pub elsewhere: usize,
}

/// A server that was not reached.
#[derive(Clone, Copy, Debug)]
pub struct FailedServer<'a> {
    /// Its service.
    pub service: &'a Arc<str>,
    /// Its incarnation.
    pub id: &'a Incarnation,
    /// Whether it is in another region.
    pub is_elsewhere: bool,
}

/// The scopes of one set of servers.
#[derive(Debug, Default)]
struct Scopes {
    exchanges: Scope,
    connections: Scope,
}

/// What an instance knows about its paths to the backend servers.
#[derive(Debug, Default)]
pub struct Reach {
    all: Scopes,
    by_service: BTreeMap<Arc<str>, Scopes>,
    /// Exchanges under way over connections of this instance.
    in_flight: usize,
    /// When there was none under way last.
    idle_until: Option<Instant>,
}

impl Reach {
    /// Records that a request is sent over a connection of this instance.
    pub fn record_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.idle_until = Some(now);
        }
        self.in_flight += 1;
    }

    /// Records that an exchange over a connection of this instance ended, in whatever way.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response over a connection of this instance; returns what changed.
    pub fn record_response(&mut self, service: &Arc<str>, now: Instant) -> Vec<Change> {
        self.for_scopes(service, |scopes, scope, changes| {
            changes.extend(scopes.exchanges.record_success(scope, ChangeKind::Exchanges, now));
        })
    }

    /// Records the first response over a new connection, besides [`Reach::record_response`]; returns
    /// what changed.
    pub fn record_first_response(&mut self, service: &Arc<str>, now: Instant) -> Vec<Change> {
        self.for_scopes(service, |scopes, scope, changes| {
            changes.extend(scopes.connections.record_success(scope, ChangeKind::Connections, now));
        })
    }

    /// Records that a server was not reached; returns what changed.
    ///
    /// `since` is when the exchange that failed began: what succeeded later outweighs it.
    pub fn record_failure(
        &mut self,
        server: FailedServer<'_>,
        failure: Failure,
        since: Instant,
        counts: ServerCounts,
        now: Instant,
    ) -> Vec<Change> {
        self.for_scopes(server.service, |scopes, scope, changes| {
            let (count, elsewhere) = match scope {
                Some(_) => (counts.of_service, counts.elsewhere_of_service),
                None => (counts.all, counts.elsewhere),
            };
            let required = Required {
                servers: MIN_FAILED_SERVERS.min(count.max(1)),
                is_elsewhere: elsewhere > 0,
            };
            let mut record = |part: &mut Scope, kind| {
                changes.extend(
                    part.record_failure(scope, kind, server, failure, since, required, now),
                );
            };
            record(&mut scopes.exchanges, ChangeKind::Exchanges);
            if failure.is_of_new_connection() {
                record(&mut scopes.connections, ChangeKind::Connections);
            }
        })
    }

    /// Returns whether a server has failed since any of a scope succeeded: `None` for all servers, or a
    /// service.
    pub fn has_failed(&self, service: Option<&str>, server: &Incarnation) -> bool {
        let scopes = service.map_or(Some(&self.all), |service| self.by_service.get(service));
        scopes.is_some_and(|scopes| {
            scopes.exchanges.has_failed(server) || scopes.connections.has_failed(server)
        })
    }

    /// Records that another instance, which is not cut off, could not connect to a server either: it
    /// has failed, and says nothing about this instance.
    pub fn record_failed_server(
        &mut self,
        service: &Arc<str>,
        server: &Incarnation,
        now: Instant,
    ) -> Vec<Change> {
        self.for_scopes(service, |scopes, scope, changes| {
            let Scopes { exchanges, connections } = scopes;
            changes.extend(exchanges.excuse(scope, ChangeKind::Exchanges, server, now));
            changes.extend(connections.excuse(scope, ChangeKind::Connections, server, now));
        })
    }

    /// Forgets the failures of servers that are no longer listed; returns what changed.
    pub fn retain_servers(
        &mut self,
        is_listed: impl Fn(&Incarnation) -> bool,
        now: Instant,
    ) -> Vec<Change> {
        let services = self.by_service.iter_mut().map(|(service, scopes)| (Some(service), scopes));
        let all = std::iter::once((None, &mut self.all));
        let mut changes = Vec::new();
        for (service, Scopes { exchanges, connections }) in all.chain(services) {
            let is_listed = |server: &Incarnation| is_listed(server);
            changes.extend(exchanges.retain_servers(
                service,
                ChangeKind::Exchanges,
                is_listed,
                now,
            ));
            changes.extend(connections.retain_servers(
                service,
                ChangeKind::Connections,
                is_listed,
                now,
            ));
        }
        changes
    }

    /// The path of a request for a service; `draw` in `0.0..1.0` spreads the requests that return to
    /// the direct path.
    pub fn path(&self, service: &str, draw: f64, now: Instant) -> Path {
        let states = |part: fn(&Scopes) -> &Scope| {
            let of_service = self.by_service.get(service).map(part);
            [Some(part(&self.all)), of_service].into_iter().flatten()
        };
        let worst = |part| states(part).map(|scope: &Scope| scope.state(draw, now)).max();
        match (worst(|scopes| &scopes.exchanges), worst(|scopes| &scopes.connections)) {
            (Some(ScopeState::Lost { is_confirmed }), _) => Path::StandIn { is_confirmed },
            (_, Some(ScopeState::Lost { .. })) => Path::OpenConnectionsOnly,
            _ => Path::Direct,
        }
    }

    /// Returns whether no server of a service is reached.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.is_cut_off_over(service, false)
    }

    /// Returns whether no server of a service is reached over an open connection, or, if
    /// `is_connection_new`, over a new one.
    pub fn is_cut_off_over(&self, service: &str, is_connection_new: bool) -> bool {
        let is_lost = |scopes: &Scopes| {
            scopes.exchanges.is_lost() || is_connection_new && scopes.connections.is_lost()
        };
        is_lost(&self.all) || self.by_service.get(service).is_some_and(is_lost)
    }

    /// Returns whether no server at all is reached.
    pub fn is_cut_off_from_all(&self) -> bool {
        self.all.exchanges.is_lost()
    }

    /// The services of which no server is reached, while others are.
    pub fn lost_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let lost = self.by_service.iter().filter(|(_, scopes)| scopes.exchanges.is_lost());
        lost.map(|(service, _)| service)
    }

    /// The scopes in which servers failed and none succeeded since, or that are lost: `None` for all
    /// servers, or a service.
    pub fn unclear_scopes(&self) -> Vec<Option<Arc<str>>> {
        let is_unclear =
            |scopes: &Scopes| scopes.exchanges.is_unclear() || scopes.connections.is_unclear();
        let services = self.by_service.iter().filter(|(_, scopes)| is_unclear(scopes));
        let mut unclear: Vec<_> = services.map(|(service, _)| Some(service.clone())).collect();
        if unclear.is_empty() && is_unclear(&self.all) {
            unclear.push(None);
        }
        unclear
    }

    /// Returns whether so many exchanges have been under way without any response that a check should
    /// tell why; `mean_response_time` is that of the services.
    pub fn has_drought(&self, mean_response_time: Duration, now: Instant) -> bool {
        let Some(idle_until) = self.idle_until.filter(|_| self.in_flight > 0) else { return false };
        let last_response = self.all.exchanges.last_success().unwrap_or(idle_until);
        let silence = now.saturating_duration_since(last_response.max(idle_until));
        let usual_gap = mean_response_time.div_f64(self.in_flight as f64);
        silence > usual_gap.mul_f64(DROUGHT_GAPS).max(MIN_DROUGHT)
    }

    /// How long no server has been reached; `None` while one is.
    pub fn cut_off_for(&self, now: Instant) -> Option<Duration> {
        self.all.exchanges.lost_for(now)
    }

    fn for_scopes(
        &mut self,
        service: &Arc<str>,
        mut apply: impl FnMut(&mut Scopes, Option<&Arc<str>>, &mut Vec<Change>),
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        apply(&mut self.all, None, &mut changes);
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Scopes::default());
        }
        if let Some(scopes) = self.by_service.get_mut(service) {
            apply(scopes, Some(service), &mut changes);
        }
        changes
    }
}
