//! One backend server as this instance sees it.

use super::ending::{Ending, Report};
use super::phase::{LeavingSignal, Phase};
use super::status::{ServerState, ServerStatus};
use crate::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Failures in a row that eject a backend server.
const EJECTING_FAILURES: u32 = 3;

/// Wait before a backend server that another instance reported is probed.
///
/// Within it the platform's list reaches us too, if that is where the report comes from.
const REPORT_HOLD: Duration = Duration::from_secs(2);

/// How long reports are passed over after a whole answer contradicted them.
const CONTRADICTED_FOR: Duration = Duration::from_secs(30);

/// How long a report of another instance counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// A backend server that had no work of ours for so long is taken for cold.
const COLD_AFTER: Duration = Duration::from_secs(60);

/// Weight of a new answer time in the mean, as one part of so many.
const LATENCY_WEIGHT: u32 = 8;

/// A warming backend server is slow when its mean is over so many times that of the others.
const SLOW_FACTOR: u32 = 2;

/// Least wait without an answer that counts as a failure when the timeout passes.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// The same, as a multiple of the mean answer time.
const LATE_FACTOR: u32 = 4;

/// State of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    in_flight: u32,
    latency: Option<Duration>,
    /// Mean answer time of the live ones when the last request was sent.
    reference: Option<Duration>,
    failures: u32,
    phase: Phase,
    listed: bool,
    reported_leaving: Option<Reported>,
    reported_failing: Option<Reported>,
    /// When a whole answer last contradicted a report.
    contradicted: Option<Time>,
    last_used: Time,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    since: Time,
    until: Time,
}

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// It may have so many requests of ours in flight.
    Open { limit: u32 },
    /// It may get one request that shows whether it works, since `due`.
    Probe { due: Time },
    /// It is out of use by our measurement, as far as the ejection limit allows.
    Ejected { since: Time },
    /// It is out of use by another instance's report, as far as that limit allows for its site.
    Reported { since: Time },
    /// It is leaving, and gets none.
    Leaving,
}

impl Server {
    pub(super) fn new(now: Time, phase: Phase) -> Self {
        Self {
            in_flight: 0,
            latency: None,
            reference: None,
            failures: 0,
            phase,
            listed: false,
            reported_leaving: None,
            reported_failing: None,
            contradicted: None,
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

    pub(super) fn is_forgettable(&self, now: Time, after: Duration) -> bool {
        self.in_flight == 0 && !self.listed && now.since(self.last_used) > after
    }

    /// Tells whether it may get new work, the ejection limit left aside.
    pub(super) fn access(&self, now: Time, slots: u32) -> Access {
        if self.listed {
            return Access::Leaving;
        }
        let reported = self.reported_leaving(now).map(|reported| reported.since);
        match (self.phase, reported) {
            (Phase::Leaving { until, .. }, _) if now < until => Access::Leaving,
            (Phase::Ejected { since, until, .. }, _) if now < until => Access::Ejected { since },
            // Others must agree that it came back, until a probe of our own says so.
            (_, Some(since)) if now.since(since) >= REPORT_HOLD => {
                self.probe(since + REPORT_HOLD, Access::Reported { since })
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

    /// Records a request sent to it; `reference` is the mean answer time of the others.
    pub(super) fn start(&mut self, now: Time, reference: Option<Duration>) {
        self.in_flight += 1;
        self.reference = reference;
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
            Ending::Whole => self.succeed(now, report),
            Ending::Shed => self.back_off(),
            Ending::Refused => self.phase = self.phase.leaving(now, LeavingSignal::Refused),
            Ending::Failed => self.fail(now, report.started),
            Ending::TimedOut if self.is_late(now.since(report.started)) => {
                self.fail(now, report.started);
            }
            Ending::TimedOut | Ending::Unsent | Ending::Abandoned => {}
        }
    }

    fn succeed(&mut self, now: Time, report: Report) {
        self.failures = 0;
        if report.closing {
            return;
        }
        let asked_since = |reported: &mut Reported| report.started >= reported.since + REPORT_HOLD;
        if self.reported_leaving.take_if(asked_since).is_some() {
            self.contradicted = Some(now);
        }
        let proven = match self.phase {
            Phase::Ejected { since, .. } => report.started >= since,
            Phase::Leaving { until, .. } => report.started >= until,
            Phase::Live | Phase::Warming { .. } => false,
        };
        if proven {
            self.phase = Phase::Warming { limit: 1 };
            self.latency = None;
        }
        if let Some(latency) = report.latency {
            self.measure(latency);
        }
        if let Phase::Warming { limit } = self.phase {
            self.phase = Phase::Warming { limit: self.next_limit(limit) };
        }
    }

    fn measure(&mut self, latency: Duration) {
        let mean = self.latency.unwrap_or(latency);
        self.latency = Some((mean * (LATENCY_WEIGHT - 1) + latency) / LATENCY_WEIGHT);
    }

    fn next_limit(&self, limit: u32) -> u32 {
        let slow = match (self.latency, self.reference) {
            (Some(mean), Some(reference)) => mean > reference * SLOW_FACTOR,
            _ => false,
        };
        if slow { (limit / 2).max(1) } else { limit.saturating_add(1) }
    }

    /// Takes the steps that need no event: the end of warming, the end of another instance's
    /// report, and growing cold without work while `others_answer`.
    pub(super) fn settle(&mut self, now: Time, slots: u32, others_answer: bool) {
        let unused = self.in_flight == 0 && now.since(self.last_used) > COLD_AFTER;
        if unused && others_answer && self.phase == Phase::Live {
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

    /// Lowers the limit of a backend server that has too much work.
    fn back_off(&mut self) {
        if let Phase::Live | Phase::Warming { .. } = self.phase {
            self.phase = Phase::Warming { limit: (self.in_flight / 2).max(1) };
        }
    }

    /// Tells whether a request that got no answer waited so long that the backend server is at
    /// fault, and not a short timeout of the caller.
    fn is_late(&self, waited: Duration) -> bool {
        let mean = self.latency.unwrap_or_default();
        waited >= LATE_AFTER && waited >= mean * LATE_FACTOR
    }

    fn fail(&mut self, now: Time, started: Time) {
        self.failures = self.failures.saturating_add(1);
        let agreed = self.reported_failing.is_some_and(|reported| now < reported.until);
        match self.phase {
            Phase::Ejected { since, until, .. } if started >= since && now >= until => {
                self.phase = self.phase.ejected(now);
            }
            // A failed probe is no sign of leaving: from here on it counts as failing.
            Phase::Leaving { until, .. } if started >= until => {
                self.phase = Phase::Live.ejected(now);
            }
            Phase::Live | Phase::Warming { .. } if agreed || self.failures >= EJECTING_FAILURES => {
                self.phase = self.phase.ejected(now);
            }
            _ => {}
        }
    }

    /// Records whether the platform lists it as leaving.
    pub(super) fn set_listed(&mut self, now: Time, listed: bool) {
        let held = matches!(self.phase, Phase::Leaving { until, .. } if now < until);
        if self.listed && !listed && !held {
            // Off the list: it comes back by a probe and slow start, like any other.
            self.phase = Phase::Leaving { sign: LeavingSignal::Listed, until: now, times: 0 };
        }
        self.listed = listed;
    }

    /// Records what another instance found.
    pub(super) fn merge_finding(&mut self, now: Time, leaving: bool) {
        let contradicted = |at: Time| now.since(at) < CONTRADICTED_FOR;
        if leaving && self.contradicted.is_some_and(contradicted) {
            return;
        }
        let reported =
            if leaving { &mut self.reported_leaving } else { &mut self.reported_failing };
        let since = reported.filter(|old| now < old.until).map_or(now, |old| old.since);
        *reported = Some(Reported { since, until: now + REPORT_LIFETIME });
    }

    fn reported_leaving(&self, now: Time) -> Option<Reported> {
        self.reported_leaving.filter(|reported| now < reported.until)
    }

    /// Returns whether we ourselves found it leaving (`true`) or failing (`false`).
    pub(super) fn own_finding(&self, now: Time) -> Option<bool> {
        match self.phase {
            _ if self.listed => Some(true),
            Phase::Leaving { until, .. } if now < until => Some(true),
            Phase::Ejected { .. } => Some(false),
            _ => None,
        }
    }

    /// Returns what operators are shown.
    pub(super) fn status(&self, now: Time, address: SocketAddr) -> ServerStatus {
        let (state, why) = match self.phase {
            _ if self.listed => (ServerState::Leaving, "the platform lists it as leaving"),
            Phase::Leaving { sign, .. } => (ServerState::Leaving, sign.as_str()),
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
