//! Admission control: which requests wait for a free slot, in which order, and which are refused.
//!
//! Each service has its own [`Admission`]. A request that finds a free slot never enters it. Queued
//! requests are served round-robin over the tenants; within a tenant, writes and uploads go before
//! reads. A request that can't be served in time is refused on arrival, so that its caller doesn't
//! wait in vain.

mod drain_rate;
mod queue;

use crate::Time;
use configuration::Class;
use drain_rate::DrainRate;
use queue::Queues;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait, as a multiple of the mean service time.
///
/// Service times are roughly exponential, so their 99th percentile is 4.6 times the mean; with this
/// limit, the slowest responses take less than twice as long as without a queue.
pub const WAIT_FACTOR: f64 = 4.0;

/// Lower bound of the longest wait, for services with very short service times.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Configured limits of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most requests that may wait.
    pub queue_length: usize,
    /// Longest wait, regardless of the service times.
    pub queue_wait: Duration,
}

/// A request that found no free slot.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Tenant of the request; empty for none.
    pub tenant: Arc<str>,
    /// Class of the request.
    pub class: Class,
    /// When the caller stops waiting for the response.
    pub deadline: Time,
}

/// Result of trying to queue a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnqueueOutcome {
    /// The request is queued.
    Queued {
        /// Identifies the request in the queue.
        ticket: Ticket,
        /// When the request must be refused if it has not been admitted.
        until: Time,
        /// A queued request that was removed in favor of this one and must be refused now.
        displaced: Option<Ticket>,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Why a request is refused; a refused request was not executed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The queue is full.
    QueueFull,
    /// The request would not be started in time.
    TooLate,
}

impl Refusal {
    /// All causes, in the order used in metrics.
    pub const ALL: [Refusal; 2] = [Refusal::QueueFull, Refusal::TooLate];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::QueueFull => "queue-full",
            Refusal::TooLate => "too-late",
        }
    }
}

/// Queued requests of one service at this instance.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    wait_factor: f64,
    queues: Queues,
    drain_rate: DrainRate,
    next_ticket: u64,
}

impl Admission {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self::with_wait_factor(limits, WAIT_FACTOR)
    }

    /// Creates an empty queue with `wait_factor` in place of [`WAIT_FACTOR`].
    pub fn with_wait_factor(limits: Limits, wait_factor: f64) -> Self {
        Self {
            limits,
            wait_factor,
            queues: Queues::default(),
            drain_rate: DrainRate::default(),
            next_ticket: 0,
        }
    }

    /// Sets new limits; queued requests stay queued.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queues.len()
    }

    /// Queues a request that found no free slot, or refuses it.
    pub fn enqueue(&mut self, now: Time, arrival: &Arrival) -> EnqueueOutcome {
        let Some(until) = self.latest_start(now, arrival.deadline) else {
            return EnqueueOutcome::Refused(Refusal::TooLate);
        };
        let ahead = self.queues.count_ahead(&arrival.tenant, arrival.class);
        if now + self.drain_rate.time_to_start(now, ahead + 1) > until {
            return EnqueueOutcome::Refused(Refusal::TooLate);
        }
        let mut displaced = None;
        if self.queues.len() >= self.limits.queue_length {
            displaced = self.queues.displace(&arrival.tenant, arrival.class);
            if displaced.is_none() {
                return EnqueueOutcome::Refused(Refusal::QueueFull);
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.queues.len() == 0 {
            self.drain_rate.start_backlog(now);
        }
        self.queues.push(&arrival.tenant, arrival.class, ticket);
        EnqueueOutcome::Queued { ticket, until, displaced }
    }

    /// Returns the request to be admitted next, without removing it.
    pub fn peek(&self) -> Option<Ticket> {
        self.queues.next()
    }

    /// Removes a queued request that got a slot.
    pub fn admit(&mut self, now: Time, ticket: Ticket) {
        if self.queues.remove(ticket, true) {
            self.drain_rate.record_start(now);
        }
    }

    /// Removes a request that got no slot: its wait has ended, or its caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) {
        self.queues.remove(ticket, false);
    }

    /// Records how long a request held its slot, which is its service time.
    pub fn record_service_time(&mut self, service_time: Duration) {
        self.drain_rate.record_service_time(service_time);
    }

    /// Returns the delay after which a caller that is refused now should retry.
    pub fn retry_after(&self, now: Time) -> Duration {
        self.drain_rate
            .time_to_start(now, self.queues.len())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the latest time at which a request may start; `None` if that time has passed.
    fn latest_start(&self, now: Time, deadline: Time) -> Option<Time> {
        let service_time = self.drain_rate.mean_service_time();
        let service_wait = service_time.mul_f64(self.wait_factor).max(MIN_WAIT);
        let max_wait = match service_time.is_zero() {
            true => self.limits.queue_wait,
            false => self.limits.queue_wait.min(service_wait),
        };
        let until = (now + max_wait).min(deadline - service_time);
        (until > now).then_some(until)
    }
}
