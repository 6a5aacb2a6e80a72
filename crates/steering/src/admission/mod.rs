//! Admission: which requests wait for room, in which order they get it, and which are refused.
//!
//! One [`Admission`] belongs to one service.  Requests that find room never enter it.  Those that
//! wait are served tenant by tenant in turn; within a tenant, writes and uploads come before reads.
//! A request that can't be served in time is refused on arrival, so that its caller learns at once.

mod pace;
mod queue;

use crate::Time;
use configuration::Class;
use pace::Pace;
use queue::Queues;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait, as a multiple of the mean time that a request holds its slot.
///
/// Answer times are about exponential: their slowest hundredth takes 4.6 times the mean, so that
/// this much waiting leaves the slowest answers under twice what they are without a queue.
pub const WAIT_FACTOR: f64 = 4.0;

/// Shortest longest wait, for services that answer within a moment.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Longest time that a refused caller is asked to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time that a refused caller is asked to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names a request that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Limits of a queue, from the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requests that may wait.
    pub queue_length: usize,
    /// Longest wait, whatever the measured times.
    pub queue_wait: Duration,
}

/// A request that found no room.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its tenant; empty for none.
    pub tenant: Arc<str>,
    /// Its class.
    pub class: Class,
    /// When its caller stops waiting for the answer.
    pub deadline: Time,
}

/// What becomes of a request that found no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrived {
    /// It waits, at most until `until`.
    Waits {
        /// Its name.
        ticket: Ticket,
        /// When it is to be refused if it got no room.
        until: Time,
        /// A request that waited and has to make room: it is refused now.
        displaced: Option<Ticket>,
    },
    /// It is refused.
    Refused(Refusal),
}

/// Why a request is refused; it was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// As many wait as may.
    QueueFull,
    /// It would not have room in time.
    TooLate,
}

impl Refusal {
    /// Every cause, in the order of metrics.
    pub const ALL: [Refusal; 2] = [Refusal::QueueFull, Refusal::TooLate];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::QueueFull => "queue-full",
            Refusal::TooLate => "too-late",
        }
    }
}

/// The requests of one service that wait for room at this instance.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    wait_factor: f64,
    queues: Queues,
    pace: Pace,
    next_ticket: u64,
}

impl Admission {
    /// Makes an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self::with_wait_factor(limits, WAIT_FACTOR)
    }

    /// Makes an empty queue with another longest wait than [`WAIT_FACTOR`].
    pub fn with_wait_factor(limits: Limits, wait_factor: f64) -> Self {
        Self {
            limits,
            wait_factor,
            queues: Queues::default(),
            pace: Pace::default(),
            next_ticket: 0,
        }
    }

    /// Takes new limits; requests that wait keep their place.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Lets a request wait that found no room, or refuses it.
    pub fn arrive(&mut self, now: Time, arrival: &Arrival) -> Arrived {
        let Some(until) = self.latest_start(now, arrival.deadline) else {
            return Arrived::Refused(Refusal::TooLate);
        };
        let ahead = self.queues.ahead(&arrival.tenant, arrival.class);
        if now + self.pace.time_for(now, ahead + 1) > until {
            return Arrived::Refused(Refusal::TooLate);
        }
        let mut displaced = None;
        if self.queues.len() >= self.limits.queue_length {
            displaced = self.queues.displace(&arrival.tenant, arrival.class);
            if displaced.is_none() {
                return Arrived::Refused(Refusal::QueueFull);
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.queues.len() == 0 {
            self.pace.start_backlog(now);
        }
        self.queues.push(&arrival.tenant, arrival.class, ticket);
        Arrived::Waits { ticket, until, displaced }
    }

    /// Returns the request whose turn it is, without taking it out.
    pub fn next(&self) -> Option<Ticket> {
        self.queues.next()
    }

    /// Records that a request that waited got room.
    pub fn admitted(&mut self, now: Time, ticket: Ticket) {
        if self.queues.remove(ticket, true) {
            self.pace.record_start(now);
        }
    }

    /// Takes out a request that waits no longer: its wait is over, or its caller went away.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queues.remove(ticket, false);
    }

    /// Records how long a request held its slot.
    pub fn record_service(&mut self, held: Duration) {
        self.pace.record_service(held);
    }

    /// Returns when a caller that is refused now should come back.
    pub fn retry_after(&self, now: Time) -> Duration {
        self.pace.time_for(now, self.queues.len()).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns when a request must have room at the latest; `None` when that has passed.
    fn latest_start(&self, now: Time, deadline: Time) -> Option<Time> {
        let service = self.pace.mean_service();
        let by_service = service.mul_f64(self.wait_factor).max(MIN_WAIT);
        let longest = match service.is_zero() {
            true => self.limits.queue_wait,
            false => self.limits.queue_wait.min(by_service),
        };
        let until = (now + longest).min(deadline - service);
        (until > now).then_some(until)
    }
}
