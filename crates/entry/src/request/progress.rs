//! The attempts of a request so far: backend servers, outcomes, and what counts against the quota.

use super::exchange::Exchange;
use super::outcome::Outcome;
use super::sent_flag::SentFlag;
use crate::process::millis::millis;
use crate::process::recent_decisions::{AttemptRecord, Decision};
use crate::process::retry_budgets::RetryOutcome;
use std::sync::Arc;
use steering::placement::Choice;

/// Outcome of an attempt that was dropped before it ended.
const ABANDONED: &str = "given up";

/// How many more times a request is sent to a backend server that refused it although it had
/// capacity, or did not get it from a relay.
///
/// The object is in a warm cache there, but one that refuses everything would use up the attempts.
const MAX_REPEATS_PER_SERVER: usize = 1;

/// What the outcome of an attempt says about its arrival at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Arrival {
    /// It has not arrived and never will.
    Never,
    /// It has arrived.
    Past,
    /// It may arrive later.
    Unknown,
}

impl Arrival {
    fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::NotSent | Outcome::NotForwarded => Self::Never,
            Outcome::Answered(_)
            | Outcome::NotRun
            | Outcome::Refused
            | Outcome::Broken { is_past: true } => Self::Past,
            Outcome::Broken { is_past: false } => Self::Unknown,
        }
    }
}

/// The attempts of a request so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Whether the request was counted against its customer's quota.
    is_counted: bool,
    /// Retries that were taken from the budget.
    retries_taken: u32,
    /// Attempts that may have run it: those in flight, and those that ended without a sign that it
    /// has not run.
    may_have_run: u32,
    /// Backend servers that it must not be sent to again.
    excluded_servers: Vec<Arc<str>>,
    /// The attempts, as operators see them.
    attempts: Vec<AttemptRecord>,
    /// For each attempt, whether sending the request began.
    sent_flags: Vec<SentFlag>,
    /// For each attempt, what its outcome says about its arrival; `None` before that.
    arrivals: Vec<Option<Arrival>>,
}

impl Progress {
    /// Records that the request was counted against its customer's quota.
    pub(super) fn mark_counted(&mut self) {
        self.is_counted = true;
    }

    /// Takes a retry from the budget for the next attempt; returns whether there was one.
    pub(super) fn take_retry(&mut self, exchange: &Exchange, is_hedge: bool) -> bool {
        let granted = exchange.take_retry(is_hedge);
        self.retries_taken += u32::from(granted);
        granted
    }

    /// Ends the retries of a request that has an outcome or was given up; those that were not sent are
    /// returned to the budget.
    pub(super) fn end_retries(&self, exchange: &Exchange) {
        let sent =
            self.sent_flags.iter().zip(&self.arrivals).filter(|(sent_flag, arrival)| {
                sent_flag.is_set() && **arrival != Some(Arrival::Never)
            });
        let outcome = sent.fold(
            RetryOutcome { taken: self.retries_taken, sent: 0, unknown: 0 },
            |outcome, (_, arrival)| RetryOutcome {
                sent: outcome.sent + 1,
                unknown: outcome.unknown + u32::from(*arrival != Some(Arrival::Past)),
                ..outcome
            },
        );
        let request_id = exchange.head.request_id.as_deref().unwrap_or("");
        exchange.instance.retry_budgets.end(&exchange.service, request_id, outcome);
    }

    /// Refunds the quota if the request has not run and never will.
    pub(super) fn refund_if_not_run(&self, exchange: &Exchange) {
        if self.is_counted && !self.may_have_run() {
            exchange.refund_quota();
        }
    }

    /// Ends the attempts that were dropped before sending the request began.
    pub(super) fn end_unsent_attempts(&mut self, exchange: &Exchange) {
        let attempts = self.attempts.iter().zip(&self.sent_flags).enumerate();
        let unsent = attempts.filter(|(_, (attempt, sent_flag))| {
            attempt.outcome == ABANDONED && !sent_flag.is_set()
        });
        let unsent_numbers: Vec<usize> = unsent.map(|(number, _)| number).collect();
        for number in unsent_numbers {
            self.end_attempt(number, &Outcome::NotSent, exchange);
        }
    }

    /// Begins an attempt; returns its number, and the flag to set when sending begins.
    ///
    /// Charges the quota if another attempt may have run the request; the first was charged before.
    pub(super) fn begin_attempt(
        &mut self,
        choice: &Choice,
        exchange: &Exchange,
    ) -> (usize, SentFlag) {
        if self.may_have_run > 0 {
            exchange.charge_quota();
        }
        self.may_have_run += 1;
        self.excluded_servers.push(choice.id.clone());
        self.attempts.push(AttemptRecord {
            server: choice.id.clone(),
            availability_zone: choice.availability_zone.clone(),
            version: choice.version.clone(),
            load: choice.load,
            slots: choice.slots,
            cold: choice.cold,
            ended_ms: 0,
            outcome: ABANDONED,
        });
        let sent_flag = SentFlag::default();
        self.sent_flags.push(sent_flag.clone());
        self.arrivals.push(None);
        (self.attempts.len() - 1, sent_flag)
    }

    /// Number of the attempt that begins next.
    pub(super) fn next_attempt(&self) -> usize {
        self.attempts.len()
    }

    /// Ends the attempt with this number.
    ///
    /// Refunds the attempt if it has not run the request and another one may have.
    pub(super) fn end_attempt(&mut self, number: usize, outcome: &Outcome, exchange: &Exchange) {
        if let Some(attempt) = self.attempts.get_mut(number) {
            attempt.ended_ms = millis(exchange.age());
            attempt.outcome = outcome.as_str();
        }
        if let Some(arrival) = self.arrivals.get_mut(number) {
            *arrival = Some(Arrival::of(outcome));
        }
        if outcome.has_not_run() {
            self.may_have_run -= 1;
            if self.may_have_run > 0 {
                exchange.refund_quota();
            }
        }
        if matches!(outcome, Outcome::Refused | Outcome::NotForwarded)
            && let Some(AttemptRecord { server, .. }) = self.attempts.get(number)
            && self.attempts.iter().filter(|attempt| attempt.server == *server).count()
                <= MAX_REPEATS_PER_SERVER
        {
            self.excluded_servers.retain(|id| id != server);
        }
    }

    /// Backend servers of the attempts whose outcome is unknown, each with the relay if there was one.
    pub(super) fn unfinished_attempts(&self) -> String {
        let attempts = self.attempts.iter().zip(&self.sent_flags);
        let unfinished = attempts.filter(|(attempt, _)| attempt.outcome == ABANDONED);
        let names = unfinished.map(|(attempt, sent_flag)| match sent_flag.through() {
            Some(relay) => format!("{} through {}", attempt.server, relay.id.id),
            None => attempt.server.to_string(),
        });
        names.collect::<Vec<_>>().join(", ")
    }

    /// The number of attempts so far.
    pub(super) fn attempt_count(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Whether a backend server may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Identities of the backend servers that it must not be sent to again.
    pub(super) fn excluded_servers(&self) -> &[Arc<str>] {
        &self.excluded_servers
    }

    /// Records the outcome for operators, who can look it up by the request's identity.
    pub(super) fn record_decision(self, exchange: &Exchange, outcome: &'static str) {
        let Some(request_id) = &exchange.head.request_id else { return };
        let took_ms = millis(exchange.age());
        let mut attempts = self.attempts;
        for attempt in attempts.iter_mut().filter(|attempt| attempt.outcome == ABANDONED) {
            attempt.ended_ms = took_ms;
        }
        let replica = exchange.instance.replica.borrow();
        exchange.instance.recent_decisions.borrow_mut().add(Decision {
            request_id: request_id.as_str().into(),
            route: exchange.route.name.clone(),
            service: exchange.service.clone(),
            customer: exchange.customer.as_ref().map(|customer| customer.name.clone()),
            arm: exchange.arm.clone(),
            outcome,
            offers: attempts,
            configuration_version: exchange.version,
            servers_as_of: replica.servers.as_of,
            took_ms,
        });
    }
}
