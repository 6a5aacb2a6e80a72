//! Retry budgets of the services.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use steering::placement::RetryBudget;

/// Retry budgets, by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    by_service: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// Number of instances that share them, heard or not; `None` while unknown.
    fleet_size: Cell<Option<usize>>,
}

impl RetryBudgets {
    /// Sets the number of instances that share the budgets, heard or not; `None` while unknown.
    pub(super) fn set_fleet_size(&self, size: Option<usize>) {
        self.fleet_size.set(size);
    }

    /// Adds a request for a service to its budget, which starts as `new`.
    pub(super) fn credit(&self, service: &Arc<str>, new: impl FnOnce() -> RetryBudget) {
        let mut budgets = self.by_service.borrow_mut();
        budgets.entry(service.clone()).or_insert_with(new).earn(self.fleet_size.get());
    }

    /// Returns whether the budget of a service permits a retry.
    pub fn may_retry(&self, service: &str) -> bool {
        self.by_service.borrow().get(service).is_some_and(RetryBudget::has_token)
    }

    /// Consumes one retry of the budget of a service; returns whether the budget permitted it.
    pub fn take(&self, service: &str) -> bool {
        self.by_service.borrow_mut().get_mut(service).is_some_and(RetryBudget::take)
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
        let (tokens, instances) =
            budgets.get(service).map_or((0.0, 0), |budget| (budget.tokens(), budget.instances()));
        log::info!(
            target: "request",
            id = request_id, service, is_hedge, granted, tokens_left = tokens, instances;
            "retry decided"
        );
    }

    /// Returns a retry that was taken from the budget of a service and not sent.
    pub(crate) fn refund(&self, service: &str) {
        if let Some(budget) = self.by_service.borrow_mut().get_mut(service) {
            budget.refund();
        }
    }
}
