//! Retries a read once when its exchange fails, within the service's retry budget.

use super::body::{self, Body};
use super::state::Exchange;
use http::Request;
use http::request::Parts;
use hyper::body::Body as _;

/// The part of a request that is kept for one retry.
pub(super) struct Retry {
    head: Option<Parts>,
}

impl Retry {
    /// Keeps the head of a request that is repeatable and has no body, and returns the request.
    ///
    /// Every request credits the service's retry budget.
    pub(super) fn for_request(
        exchange: &Exchange,
        request: Request<Body>,
    ) -> (Self, Request<Body>) {
        let overload = &exchange.version.configuration.overload;
        exchange.process.credit_retry_budget(&exchange.service().name, overload);
        if !exchange.class.is_repeatable() || !request.body().is_end_stream() {
            return (Self { head: None }, request);
        }
        let (parts, body) = request.into_parts();
        (Self { head: Some(parts.clone()) }, Request::from_parts(parts, body))
    }

    /// Returns the request for its retry, if it may be retried and the budget allows it.
    pub(super) fn take_request(&mut self, exchange: &Exchange) -> Option<Request<Body>> {
        let head = self.head.take()?;
        let service = &exchange.service().name;
        let metrics = &exchange.process.metrics.overload;
        let is_allowed = exchange.process.acquire_retry(service);
        let counter = if is_allowed { &metrics.retries } else { &metrics.retries_denied };
        counter.with_label_values(&[&**service]).inc();
        is_allowed.then(|| Request::from_parts(head, body::full("")))
    }
}
