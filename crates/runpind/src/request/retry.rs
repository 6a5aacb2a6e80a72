//! Sending a read once more when its exchange broke, within the service's retry budget.

use super::body::{self, Body};
use super::state::Exchange;
use http::Request;
use http::request::Parts;
use hyper::body::Body as _;

/// What is kept of a request so that it can be sent once more.
pub(super) struct Retry {
    head: Option<Parts>,
}

impl Retry {
    /// Keeps the head of a request that may be repeated and has no body.
    pub(super) fn of(exchange: &Exchange, request: Request<Body>) -> (Self, Request<Body>) {
        let overload = &exchange.version.configuration.overload;
        exchange.process.credit_retry_budget(&exchange.service().name, overload);
        if !exchange.class.is_repeatable() || !request.body().is_end_stream() {
            return (Self { head: None }, request);
        }
        let (parts, body) = request.into_parts();
        (Self { head: Some(parts.clone()) }, Request::from_parts(parts, body))
    }

    /// Returns the request to be sent once more, if it and the budget allow that.
    pub(super) fn again(&mut self, exchange: &Exchange) -> Option<Request<Body>> {
        let head = self.head.take()?;
        let service = &exchange.service().name;
        let metrics = &exchange.process.metrics.overload;
        let allowed = exchange.process.acquire_retry(service);
        let counter = if allowed { &metrics.retries } else { &metrics.retries_denied };
        counter.with_label_values(&[&**service]).inc();
        allowed.then(|| Request::from_parts(head, body::full("")))
    }
}
