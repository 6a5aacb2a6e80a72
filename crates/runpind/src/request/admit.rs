//! Queues a request while there is no capacity for it.

use super::headers::TENANT_HEADER;
use super::problem::Problem;
use super::state::Exchange;
use crate::process::request_queues::{QueuePosition, Refused, Wakeup};
use http::HeaderMap;
use std::sync::Arc;
use std::time::Duration;
use steering::admission::{Arrival, Refusal};
use tokio::time::Instant;

/// Longest name of a tenant, in bytes; requests with a longer name are queued as if they had none.
const MAX_TENANT_BYTES: usize = 64;

/// The admission of one request, which holds a place in the queue once it had to wait.
pub(super) struct Admission {
    tenant: Arc<str>,
    queue_place: Option<QueuePosition>,
}

impl Admission {
    /// Starts outside the queue, with the tenant that the headers name.
    pub(super) fn new(headers: &HeaderMap) -> Self {
        let tenant = headers
            .get(TENANT_HEADER)
            .and_then(|value| value.to_str().ok())
            .filter(|tenant| tenant.len() <= MAX_TENANT_BYTES)
            .unwrap_or_default();
        Self { tenant: tenant.into(), queue_place: None }
    }

    /// Queues a new request if others of its service are waiting already.
    pub(super) async fn wait_for_turn(&mut self, exchange: &Exchange) -> Result<(), Problem> {
        match exchange.process.has_waiting(&exchange.service().name) {
            true => self.wait_for_capacity(exchange).await,
            false => Ok(()),
        }
    }

    /// Waits until there may be capacity.
    ///
    /// # Errors
    ///
    /// Fails at once if capacity is not expected in time, and later if the request is displaced from
    /// the queue or waits too long.
    pub(super) async fn wait_for_capacity(&mut self, exchange: &Exchange) -> Result<(), Problem> {
        let process = &exchange.process;
        let place = match &mut self.queue_place {
            Some(place) => {
                place.requeue();
                place
            }
            None => {
                let arrival = Arrival {
                    tenant: self.tenant.clone(),
                    class: exchange.class,
                    deadline: process.clock.now() + time_to_deadline(exchange),
                };
                let overload = &exchange.version.configuration.overload;
                let queued = process.enqueue(&exchange.service().name, overload, &arrival);
                self.queue_place.insert(queued.map_err(|refused| refuse(exchange, refused))?)
            }
        };
        let remaining = place.deadline.since(process.clock.now());
        let refusal = match tokio::time::timeout(remaining, &mut place.wakeup).await {
            Ok(Ok(Wakeup::Retry)) => return Ok(()),
            Ok(Ok(Wakeup::Displaced) | Err(_)) => Refusal::QueueFull,
            Err(_) => Refusal::TooLate,
        };
        let retry_after = process.retry_after(&exchange.service().name);
        Err(refuse(exchange, Refused { refusal, retry_after }))
    }

    /// Leaves the queue, after capacity was found.
    pub(super) fn leave_queue(&mut self) {
        if let Some(place) = self.queue_place.take() {
            place.admit();
        }
    }
}

fn time_to_deadline(exchange: &Exchange) -> Duration {
    exchange.deadline.saturating_duration_since(Instant::now())
}

/// Counts a refusal and returns it as a problem.
fn refuse(exchange: &Exchange, refused: Refused) -> Problem {
    let labels = [&*exchange.service().name, exchange.class.as_str(), refused.refusal.as_str()];
    exchange.process.metrics.overload.refusals.with_label_values(&labels).inc();
    Problem::Overloaded { retry_after: refused.retry_after }
}
