//! Retry budgets of the services.

use super::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use steering::placement::{RetryBudget, RetryTerms};

/// What became of the retries of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryOutcome {
    /// Retries that were taken from the budget.
    pub(crate) taken: u32,
    /// Attempts that may have arrived at a backend server.
    pub(crate) sent: u32,
    /// Attempts of these whose outcome is unknown, so that they may arrive later.
    pub(crate) unknown: u32,
}

impl RetryOutcome {
    /// Arrivals past the first.
    fn repeats(self) -> u32 {
        self.sent.saturating_sub(1)
    }
}

/// Retry budgets, by service.
pub struct RetryBudgets {
    clock: Rc<Clock>,
    terms: RetryTerms,
    by_service: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// Number of instances that share them, heard or not; `None` while unknown.
    fleet_size: Cell<Option<usize>>,
}

impl RetryBudgets {
    /// Creates the budgets of an instance.
    pub(super) fn new(clock: Rc<Clock>, terms: RetryTerms) -> Self {
        Self { clock, terms, by_service: RefCell::default(), fleet_size: Cell::default() }
    }

    /// Sets the number of instances that share the budgets, heard or not; `None` while unknown. Returns
    /// whether it is another one.
    pub(super) fn set_fleet_size(&self, size: Option<usize>) -> bool {
        self.fleet_size.replace(size) != size
    }

    /// Adds a request for a service to its budget.
    pub fn credit(&self, service: &Arc<str>) {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.terms));
        budget.earn(self.fleet_size.get(), self.clock.now());
    }

    /// Returns whether the budget of a service permits a retry.
    pub fn may_retry(&self, service: &str) -> bool {
        let budgets = self.by_service.borrow();
        budgets.get(service).is_some_and(|budget| budget.has_token(self.clock.now()))
    }

    /// Consumes one retry of the budget of a service; returns whether the budget permitted it.
    pub fn take(&self, service: &str) -> bool {
        let mut budgets = self.by_service.borrow_mut();
        budgets.get_mut(service).is_some_and(|budget| budget.take(self.clock.now()))
    }

    /// Logs whether a request got a retry.
    pub(crate) fn log_decision(
        &self,
        service: &str,
        request_id: &str,
        is_hedge: bool,
        granted: bool,
    ) {
        let budgets = self.by_service.borrow();
        let (tokens, counted, instances) = budgets.get(service).map_or((0.0, 0, 0), |budget| {
            (budget.tokens(), budget.counted_retries(self.clock.now()), budget.instances())
        });
        log::info!(
            target: "request",
            id = request_id, service, is_hedge, granted, tokens_left = tokens, counted, instances;
            "retry decided"
        );
    }

    /// Ends the retries of a request that has an outcome, and returns those that were not sent.
    pub(crate) fn end(&self, service: &str, request_id: &str, outcome: RetryOutcome) {
        let RetryOutcome { taken, sent, unknown } = outcome;
        let repeats = outcome.repeats();
        if taken == 0 && repeats == 0 {
            return;
        }
        let mut budgets = self.by_service.borrow_mut();
        let Some(budget) = budgets.get_mut(service) else { return };
        let now = self.clock.now();
        let latest = if unknown == 0 { now } else { now + self.terms.max_lateness() };
        (0..taken.min(repeats)).for_each(|_| budget.end(latest, now));
        (repeats..taken).for_each(|_| budget.refund());
        log::info!(
            target: "request",
            id = request_id, service, taken, sent, unknown,
            counted = budget.counted_retries(now);
            "retries ended"
        );
    }
}
