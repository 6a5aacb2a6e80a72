//! A request whose caller may disconnect before it has an outcome.

use super::exchange::Exchange;
use super::progress::Progress;
use crate::process::millis::millis;

/// Outcome of a request whose caller disconnected before there was a response.
const CALLER_LEFT: &str = "caller-left";

/// The progress of a request without an outcome.
///
/// Dropping it means that the caller has disconnected: it gives back the quota of attempts that were not
/// sent and retries that were not sent, and logs what was cancelled.
pub(super) struct Unfinished<'a> {
    exchange: &'a Exchange,
    pub(super) progress: Progress,
    is_finished: bool,
}

impl<'a> Unfinished<'a> {
    /// The progress of a request that has not been sent yet.
    pub(super) fn new(exchange: &'a Exchange) -> Self {
        Self { exchange, progress: Progress::default(), is_finished: false }
    }

    /// Returns the progress of a request that has an outcome now.
    pub(super) fn finish(mut self) -> Progress {
        self.is_finished = true;
        std::mem::take(&mut self.progress)
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let Self { exchange, progress, .. } = self;
        progress.end_unsent_attempts(exchange);
        progress.refund_if_not_run(exchange);
        progress.end_retries(exchange);
        log::info!(
            target: "request",
            id = exchange.head.request_id.as_deref().unwrap_or(""),
            route = &*exchange.route.name, service = &*exchange.service, outcome = CALLER_LEFT,
            offers = progress.attempt_count(), may_have_run = progress.may_have_run(),
            version = exchange.version, customer = exchange.customer_name(),
            age_ms = millis(exchange.age());
            "caller left"
        );
        std::mem::take(progress).record_decision(exchange, CALLER_LEFT);
    }
}
