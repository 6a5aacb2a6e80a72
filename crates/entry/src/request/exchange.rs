//! The state of one request, below the stages that work on it.

use crate::border::CallerHead;
use crate::process::instance::Instance;
use http::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use steering::deployment::Route;

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
    pub(super) started: Instant,
    /// Time after which nobody waits for the answer.
    pub(super) deadline: Instant,
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
