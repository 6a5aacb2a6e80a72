//! Waiting for room when there is none.

use super::headers::TENANT_HEADER;
use super::problem::Problem;
use super::state::Exchange;
use crate::process::request_queues::{QueuePosition, Refused, Wakeup};
use http::HeaderMap;
use std::sync::Arc;
use std::time::Duration;
use steering::admission::{Arrival, Refusal};
use tokio::time::Instant;

/// Longest name of a tenant, in bytes; longer ones share the turn of requests that name none.
const MAX_TENANT_BYTES: usize = 64;

/// A request's way to room: it has a place in the queue once it had to wait.
pub(super) struct Admission {
    tenant: Arc<str>,
    place: Option<QueuePosition>,
}

impl Admission {
    /// Begins without a place, for the tenant that the headers name.
    pub(super) fn new(headers: &HeaderMap) -> Self {
        let tenant = headers
            .get(TENANT_HEADER)
            .and_then(|value| value.to_str().ok())
            .filter(|tenant| tenant.len() <= MAX_TENANT_BYTES)
            .unwrap_or_default();
        Self { tenant: tenant.into(), place: None }
    }

    /// Waits for the turn of a new request if others wait already.
    pub(super) async fn wait_turn(&mut self, exchange: &Exchange) -> Result<(), Problem> {
        match exchange.process.has_waiting(&exchange.service().name) {
            true => self.wait_for_room(exchange).await,
            false => Ok(()),
        }
    }

    /// Waits until there may be room; refuses the request at once when there will be none in time.
    pub(super) async fn wait_for_room(&mut self, exchange: &Exchange) -> Result<(), Problem> {
        let process = &exchange.process;
        let place = match &mut self.place {
            Some(place) => {
                place.requeue();
                place
            }
            None => {
                let arrival = Arrival {
                    tenant: self.tenant.clone(),
                    class: exchange.class,
                    deadline: process.clock.now() + time_left(exchange),
                };
                let overload = &exchange.version.configuration.overload;
                let waits = process.enqueue(&exchange.service().name, overload, &arrival);
                self.place.insert(waits.map_err(|refused| refuse(exchange, refused))?)
            }
        };
        let left = place.deadline.since(process.clock.now());
        let refusal = match tokio::time::timeout(left, &mut place.wakeup).await {
            Ok(Ok(Wakeup::Retry)) => return Ok(()),
            Ok(Ok(Wakeup::Displaced) | Err(_)) => Refusal::QueueFull,
            Err(_) => Refusal::TooLate,
        };
        let retry_after = process.retry_after(&exchange.service().name);
        Err(refuse(exchange, Refused { refusal, retry_after }))
    }

    /// Records that room was found.
    pub(super) fn found(&mut self) {
        if let Some(place) = self.place.take() {
            place.admit();
        }
    }
}

fn time_left(exchange: &Exchange) -> Duration {
    exchange.deadline.saturating_duration_since(Instant::now())
}

fn refuse(exchange: &Exchange, refused: Refused) -> Problem {
    let labels = [&*exchange.service().name, exchange.class.as_str(), refused.refusal.as_str()];
    exchange.process.metrics.overload.refusals.with_label_values(&labels).inc();
    Problem::Overloaded { retry_after: refused.retry_after }
}
