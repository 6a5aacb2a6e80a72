//! One backend server from the view of this instance.

use super::ending::{Ending, Report};
use super::phase::{LeavingSignal, Phase};
use super::status::{ServerState, ServerStatus};
use crate::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Consecutive failures that eject a backend server.
const EJECTING_FAILURES: u32 = 3;

/// Wait before a backend server that another instance reported is probed.
///
/// Within it the platform's list reaches this instance, too, if the report is based on that.
const REPORT_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Time for which reports are ignored after a successful response contradicted one.
const REPORT_SUPPRESSION_PERIOD: Duration = Duration::from_secs(30);

/// Validity of a report by another instance.
const REPORT_VALIDITY: Duration = Duration::from_secs(5);

/// Time without requests from this instance after which a backend server is considered cold.
const COLD_AFTER: Duration = Duration::from_secs(60);

/// Divisor of a new latency's weight in the moving average.
const LATENCY_WEIGHT_DIVISOR: u32 = 8;

/// Multiple of the others' mean latency above which a warming backend server is slow.
const SLOW_FACTOR: u32 = 2;

/// Minimum wait without a response for which a timeout counts as a failure.
const MIN_LATE_WAIT: Duration = Duration::from_secs(1);

/// The same, as a multiple of the mean latency.
const LATE_FACTOR: u32 = 4;

/// State of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    in_flight: u32,
    latency: Option<Duration>,
    /// Mean latency of the other live backend servers when the last request was sent.
    reference_latency: Option<Duration>,
    failures: u32,
    phase: Phase,
    listed: bool,
    reported_leaving: Option<Reported>,
    reported_failing: Option<Reported>,
    /// When a successful response last contradicted a report.
    contradicted_at: Option<Time>,
    last_used: Time,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    since: Time,
    until: Time,
}

/// Whether a backend server may get new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// It may have up to `limit` requests of this instance in flight.
    Open { limit: u32 },
    /// It may get one request as a probe, since `due`.
    Probe { due: Time },
    /// It is out of use by this instance's measurements, unless the ejection limit reopens it.
    Ejected { since: Time },
    /// It is out of use by another instance's report, unless the ejection limit of its site reopens
    /// it.
    Reported { since: Time },
    /// It is leaving, and gets none.
    Leaving,
}

impl Server {
    pub(super) fn new(now: Time, phase: Phase) -> Self {
        Self {
            in_flight: 0,
            latency: None,
            reference_latency: None,
            failures: 0,
            phase,
            listed: false,
            reported_leaving: None,
            reported_failing: None,
            contradicted_at: None,
            last_used: now,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn latency(&self) -> Option<Duration> {
        self.latency
    }

    pub(super) fn is_live(&self) -> bool {
        self.phase == Phase::Live
    }

    pub(super) fn is_leaving(&self, now: Time) -> bool {
        let phase = matches!(self.phase, Phase::Leaving { .. });
        self.listed || phase || self.reported_leaving(now).is_some()
    }

    pub(super) fn is_expired(&self, now: Time, after: Duration) -> bool {
        self.in_flight == 0 && !self.listed && now.since(self.last_used) > after
    }

    /// Returns whether it may get new requests, without the ejection limit.
    pub(super) fn access(&self, now: Time, slots: u32) -> Access {
        if self.listed {
            return Access::Leaving;
        }
        let reported = self.reported_leaving(now).map(|reported| reported.since);
        match (self.phase, reported) {
            (Phase::Leaving { until, .. }, _) if now < until => Access::Leaving,
            (Phase::Ejected { since, until, .. }, _) if now < until => Access::Ejected { since },
            // Reports of other instances apply until a probe by this instance succeeds.
            (_, Some(since)) if now.since(since) >= REPORT_PROBE_DELAY => {
                self.probe(since + REPORT_PROBE_DELAY, Access::Reported { since })
            }
            (_, Some(since)) => Access::Reported { since },
            (Phase::Leaving { until, .. }, None) => self.probe(until, Access::Leaving),
            (Phase::Ejected { since, until, .. }, None) => {
                self.probe(until, Access::Ejected { since })
            }
            (Phase::Warming { limit }, None) => Access::Open { limit },
            (Phase::Live, None) => Access::Open { limit: slots },
        }
    }

    fn probe(&self, due: Time, otherwise: Access) -> Access {
        if self.in_flight == 0 { Access::Probe { due } } else { otherwise }
    }

    /// Records a request sent to it; `reference_latency` is the mean latency of the others.
    pub(super) fn start(&mut self, now: Time, reference_latency: Option<Duration>) {
        self.in_flight += 1;
        self.reference_latency = reference_latency;
        self.last_used = now;
    }

    /// Records the end of an exchange.
    pub(super) fn finish(&mut self, now: Time, report: Report) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used = now;
        if report.closing {
            self.phase = self.phase.leaving(now, LeavingSignal::ConnectionClose);
        }
        match report.ending {
            Ending::Complete => self.record_success(now, report),
            Ending::Shed => self.reduce_limit(),
            Ending::Refused => self.phase = self.phase.leaving(now, LeavingSignal::Refused),
            Ending::Failed => self.record_failure(now, report.started),
            Ending::TimedOut if self.is_late(now.since(report.started)) => {
                self.record_failure(now, report.started);
            }
            Ending::TimedOut | Ending::Unsent | Ending::Abandoned => {}
        }
    }

    fn record_success(&mut self, now: Time, report: Report) {
        self.failures = 0;
        if report.closing {
            return;
        }
        let started_later =
            |reported: &mut Reported| report.started >= reported.since + REPORT_PROBE_DELAY;
        if self.reported_leaving.take_if(started_later).is_some() {
            self.contradicted_at = Some(now);
        }
        let is_probe_success = match self.phase {
            Phase::Ejected { since, .. } => report.started >= since,
            Phase::Leaving { until, .. } => report.started >= until,
            Phase::Live | Phase::Warming { .. } => false,
        };
        if is_probe_success {
            self.phase = Phase::Warming { limit: 1 };
            self.latency = None;
        }
        if let Some(latency) = report.latency {
            self.record_latency(latency);
        }
        if let Phase::Warming { limit } = self.phase {
            self.phase = Phase::Warming { limit: self.next_limit(limit) };
        }
    }

    fn record_latency(&mut self, latency: Duration) {
        let mean = self.latency.unwrap_or(latency);
        self.latency =
            Some((mean * (LATENCY_WEIGHT_DIVISOR - 1) + latency) / LATENCY_WEIGHT_DIVISOR);
    }

    fn next_limit(&self, limit: u32) -> u32 {
        let slow = match (self.latency, self.reference_latency) {
            (Some(mean), Some(reference_latency)) => mean > reference_latency * SLOW_FACTOR,
            _ => false,
        };
        if slow { (limit / 2).max(1) } else { limit.saturating_add(1) }
    }

    /// Applies transitions that need no event: the end of warming, the expiry of another instance's
    /// report, and becoming cold when idle while `others_answer`.
    pub(super) fn update(&mut self, now: Time, slots: u32, others_answer: bool) {
        let is_idle = self.in_flight == 0 && now.since(self.last_used) > COLD_AFTER;
        if is_idle && others_answer && self.phase == Phase::Live {
            self.phase = Phase::Warming { limit: 1 };
            self.last_used = now;
        }
        if self.reported_leaving.is_some_and(|reported| now >= reported.until) {
            self.reported_leaving = None;
            if self.phase == Phase::Live {
                self.phase = Phase::Warming { limit: 1 };
            }
        }
        if matches!(self.phase, Phase::Warming { limit } if limit >= slots) {
            self.phase = Phase::Live;
        }
    }

    /// Lowers the limit of an overloaded backend server.
    fn reduce_limit(&mut self) {
        if let Phase::Live | Phase::Warming { .. } = self.phase {
            self.phase = Phase::Warming { limit: (self.in_flight / 2).max(1) };
        }
    }

    /// Returns whether a request without a response waited so long that the backend server is at
    /// fault, rather than a short timeout of the caller.
    fn is_late(&self, waited: Duration) -> bool {
        let mean = self.latency.unwrap_or_default();
        waited >= MIN_LATE_WAIT && waited >= mean * LATE_FACTOR
    }

    fn record_failure(&mut self, now: Time, started: Time) {
        self.failures = self.failures.saturating_add(1);
        let is_confirmed = self.reported_failing.is_some_and(|reported| now < reported.until);
        match self.phase {
            Phase::Ejected { since, until, .. } if started >= since && now >= until => {
                self.phase = self.phase.ejected(now);
            }
            // A failed probe is no leaving signal: from now on the backend server counts as
            // failing.
            Phase::Leaving { until, .. } if started >= until => {
                self.phase = Phase::Live.ejected(now);
            }
            Phase::Live | Phase::Warming { .. }
                if is_confirmed || self.failures >= EJECTING_FAILURES =>
            {
                self.phase = self.phase.ejected(now);
            }
            _ => {}
        }
    }

    /// Records whether the platform lists it as leaving.
    pub(super) fn set_listed(&mut self, now: Time, listed: bool) {
        let is_waiting = matches!(self.phase, Phase::Leaving { until, .. } if now < until);
        if self.listed && !listed && !is_waiting {
            // No longer listed: it returns by a probe and slow start, like any other.
            self.phase = Phase::Leaving { signal: LeavingSignal::Listed, until: now, times: 0 };
        }
        self.listed = listed;
    }

    /// Merges a finding of another instance.
    pub(super) fn merge_finding(&mut self, now: Time, leaving: bool) {
        let is_recent = |at: Time| now.since(at) < REPORT_SUPPRESSION_PERIOD;
        if leaving && self.contradicted_at.is_some_and(is_recent) {
            return;
        }
        let reported =
            if leaving { &mut self.reported_leaving } else { &mut self.reported_failing };
        let since =
            reported.filter(|previous| now < previous.until).map_or(now, |previous| previous.since);
        *reported = Some(Reported { since, until: now + REPORT_VALIDITY });
    }

    fn reported_leaving(&self, now: Time) -> Option<Reported> {
        self.reported_leaving.filter(|reported| now < reported.until)
    }

    /// Returns this instance's own finding: leaving (`true`) or failing (`false`).
    pub(super) fn own_finding(&self, now: Time) -> Option<bool> {
        match self.phase {
            _ if self.listed => Some(true),
            Phase::Leaving { until, .. } if now < until => Some(true),
            Phase::Ejected { .. } => Some(false),
            _ => None,
        }
    }

    /// Returns the state for operators.
    pub(super) fn status(&self, now: Time, address: SocketAddr) -> ServerStatus {
        let (state, why) = match self.phase {
            _ if self.listed => (ServerState::Leaving, "the platform lists it as leaving"),
            Phase::Leaving { signal, .. } => (ServerState::Leaving, signal.as_str()),
            Phase::Ejected { .. } => (ServerState::Ejected, "its exchanges failed"),
            _ if self.reported_leaving(now).is_some() => {
                (ServerState::Leaving, "another instance found it leaving")
            }
            Phase::Warming { .. } => (ServerState::Warming, "its answer times are being measured"),
            Phase::Live => (ServerState::Live, ""),
        };
        ServerStatus {
            address,
            state,
            why,
            in_flight: self.in_flight,
            limit: match self.phase {
                Phase::Warming { limit } => Some(limit),
                _ => None,
            },
            latency_us: self.latency.map(|latency| latency.as_micros() as u64),
            failures_in_a_row: self.failures,
        }
    }
}
