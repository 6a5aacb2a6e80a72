//! The paths to a set of backend servers, of which one success shows that it is reached.

use super::FailedServer;
use super::failure::Failure;
use super::returning::Returning;
use crate::placement::Incarnation;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Servers that have to fail, one of them at a check and one in another region if there are any there,
/// without a success at any, for a scope to be lost; fewer if the scope has fewer.
pub const MIN_FAILED_SERVERS: usize = 2;

/// Time for which a failure counts without a success.
const FAILURE_TTL: Duration = Duration::from_secs(10);

/// Time for which a server that others don't reach either is not counted.
const EXCUSED_FOR: Duration = Duration::from_secs(10);

/// Servers that are kept of a scope, to bound its memory.
const MAX_SERVERS: usize = 64;

/// Time without any success after which a loss is confirmed: if some servers still serve,
/// requests reach one of them by then.
const CONFIRMED_AFTER: Duration = Duration::from_secs(1);

/// What a change concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// Requests and responses.
    Exchanges,
    /// New connections.
    Connections,
}

impl ChangeKind {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Exchanges => "exchanges",
            Self::Connections => "connections",
        }
    }
}

/// A scope is lost or reached again.
#[derive(Clone, Debug)]
pub struct Change {
    /// The service; `None` for all servers.
    pub service: Option<Arc<str>>,
    /// What it concerns.
    pub kind: ChangeKind,
    /// Whether the scope is lost.
    pub is_lost: bool,
    /// Servers that failed.
    pub failed: Vec<Incarnation>,
    /// Time since the last success, or since the loss if the scope is reached again.
    pub after: Option<Duration>,
}

/// State of a scope for a request, the worst last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ScopeState {
    Reached,
    Lost { is_confirmed: bool },
}

/// Servers that have to fail for a scope to be lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Required {
    /// Number of them.
    pub(super) servers: usize,
    /// Whether one of them has to be in another region.
    pub(super) is_elsewhere: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastFailure {
    /// When the exchange that failed began.
    since: Instant,
    is_elsewhere: bool,
}

/// Paths to a set of servers.
#[derive(Debug, Default)]
pub(super) struct Scope {
    last_success: Option<Instant>,
    /// Servers that failed since.
    failed: HashMap<Incarnation, LastFailure>,
    /// Servers that others don't reach either, with when that was known.
    excused: HashMap<Incarnation, Instant>,
    lost_since: Option<Instant>,
    /// Whether a check failed since the last success.
    has_failed_check: bool,
    returning: Returning,
}

impl Scope {
    /// Records a success.
    pub(super) fn record_success(
        &mut self,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        now: Instant,
    ) -> Option<Change> {
        self.last_success = Some(now);
        self.failed.clear();
        self.has_failed_check = false;
        let lost_since = self.lost_since?;
        self.returning.record_success(now).then(|| self.end_loss(lost_since, service, kind, now))
    }

    /// Records a failure; the scope is lost with the `required` servers.
    #[allow(clippy::too_many_arguments, reason = "they describe one failure")]
    pub(super) fn record_failure(
        &mut self,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        server: FailedServer<'_>,
        failure: Failure,
        since: Instant,
        required: Required,
        now: Instant,
    ) -> Option<Change> {
        self.forget_old(now);
        let FailedServer { id, is_elsewhere, .. } = server;
        let is_outweighed = self.last_success.is_some_and(|success| success >= since);
        if is_outweighed || self.excused.contains_key(id) || self.failed.len() >= MAX_SERVERS {
            return None;
        }
        self.failed.insert(id.clone(), LastFailure { since, is_elsewhere });
        self.has_failed_check |= failure.is_of_check();
        let is_complete = self.failed.len() >= required.servers
            && (!required.is_elsewhere || self.failed.values().any(|last| last.is_elsewhere));
        if self.lost_since.is_some() {
            if is_complete {
                self.returning.record_failure();
            }
            return None;
        }
        // Slow and lost responses come together at times; a check tells them from a cut.
        if !is_complete || !self.has_failed_check {
            return None;
        }
        self.lost_since = Some(now);
        self.returning.record_loss(now);
        let failed = self.failed.keys().cloned().collect();
        let after = self.last_success.map(|success| now.duration_since(success));
        Some(Change { service: service.cloned(), kind, is_lost: true, failed, after })
    }

    /// Stops counting a server that others don't reach either.
    pub(super) fn excuse(
        &mut self,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        server: &Incarnation,
        now: Instant,
    ) -> Option<Change> {
        self.failed.remove(server)?;
        if self.excused.len() < MAX_SERVERS {
            self.excused.insert(server.clone(), now);
        }
        self.end_without_failures(service, kind, now)
    }

    /// Forgets the failures of servers that are no longer listed.
    pub(super) fn retain_servers(
        &mut self,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        is_listed: impl Fn(&Incarnation) -> bool,
        now: Instant,
    ) -> Option<Change> {
        self.failed.retain(|server, _| is_listed(server));
        self.excused.retain(|server, _| is_listed(server));
        self.end_without_failures(service, kind, now)
    }

    /// Ends a loss once no server fails for this instance alone.
    fn end_without_failures(
        &mut self,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        now: Instant,
    ) -> Option<Change> {
        let lost_since = self.lost_since.filter(|_| self.failed.is_empty())?;
        Some(self.end_loss(lost_since, service, kind, now))
    }

    fn end_loss(
        &mut self,
        lost_since: Instant,
        service: Option<&Arc<str>>,
        kind: ChangeKind,
        now: Instant,
    ) -> Change {
        self.lost_since = None;
        self.has_failed_check = false;
        let after = Some(now.duration_since(lost_since));
        Change { service: service.cloned(), kind, is_lost: false, failed: Vec::new(), after }
    }

    /// State for a request; `draw` decides whether it returns to the direct path already.
    pub(super) fn state(&self, draw: f64, now: Instant) -> ScopeState {
        match self.lost_since {
            Some(since) => {
                let since = self.last_success.map_or(since, |success| since.max(success));
                let is_lasting = now.duration_since(since) >= CONFIRMED_AFTER;
                ScopeState::Lost { is_confirmed: is_lasting && self.has_failed_check }
            }
            None if draw > self.returning.direct_fraction(now) => {
                ScopeState::Lost { is_confirmed: false }
            }
            None => ScopeState::Reached,
        }
    }

    pub(super) fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    pub(super) fn lost_for(&self, now: Instant) -> Option<Duration> {
        self.lost_since.map(|since| now.duration_since(since))
    }

    /// Returns whether servers failed and none has succeeded since.
    pub(super) fn is_unclear(&self) -> bool {
        self.is_lost() || !self.failed.is_empty()
    }

    /// Returns whether a server has failed since the last success.
    pub(super) fn has_failed(&self, server: &Incarnation) -> bool {
        self.failed.contains_key(server) || self.excused.contains_key(server)
    }

    pub(super) fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    fn forget_old(&mut self, now: Instant) {
        self.failed.retain(|_, last| now.saturating_duration_since(last.since) < FAILURE_TTL);
        self.excused.retain(|_, at| now.saturating_duration_since(*at) < EXCUSED_FOR);
    }
}
