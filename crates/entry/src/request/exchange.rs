//! The state of one request, below the stages that work on it.

use crate::border::CallerHead;
use crate::process::instance::Instance;
use http::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::deployment::Route;

/// Outcome of a request that a backend server answered whole.
pub(super) const ANSWERED: &str = "answered";

/// What is known of a request for its whole life.
pub(super) struct Exchange {
    pub(super) instance: Rc<Instance>,
    pub(super) route: Arc<Route>,
    /// Service that runs it.
    pub(super) service: Arc<str>,
    pub(super) head: CallerHead,
    pub(super) method: Method,
    pub(super) target: Uri,
    /// Headers that are passed on.
    pub(super) headers: HeaderMap,
    pub(super) key_hash: u64,
    /// The arm of the policies that steers it, if there are any.
    pub(super) arm: Option<Arc<str>>,
    pub(super) started: Instant,
    /// Time after which nobody waits for the answer.
    pub(super) deadline: Instant,
}

impl Exchange {
    /// Counts the request for its route and arm, with what was made of it.
    pub(super) fn count(&self, outcome: &'static str) {
        let metrics = &self.instance.metrics;
        metrics.requests.with_label_values(&[&*self.route.name, outcome]).inc();
        let took = self.started.elapsed();
        if outcome == ANSWERED {
            metrics.latency.with_label_values(&[&*self.route.name]).observe(took.as_secs_f64());
        }
        let Some(arm) = &self.arm else { return };
        let flow = (self.service.clone(), self.route.name.clone(), arm.clone());
        let mut arms = self.instance.arms.borrow_mut();
        match outcome {
            ANSWERED => arms.answered(flow, took),
            outcome => arms.failed(flow, outcome),
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub(super) struct InFlight(Rc<Instance>);

impl InFlight {
    /// Counts one more.
    pub(super) fn enter(instance: &Rc<Instance>) -> Self {
        instance.in_flight.set(instance.in_flight.get() + 1);
        Self(instance.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
