//! Requests that wait for a broker's response.

use super::super::Ticket;
use super::super::fleet::MemberId;
use crate::Time;
use crate::deployment::CustomerId;
use std::collections::VecDeque;
use std::time::Duration;

/// Time that a broker has to respond: many times the latency within a region, and an eighth of the
/// shortest latency objective.
pub(super) const BROKER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a broker that did not respond is asked last.
pub(super) const UNRESPONSIVE_PERIOD: Duration = Duration::from_millis(1_000);

/// A request that waits for a broker's response.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) ticket: Ticket,
    pub(super) customer: CustomerId,
    /// The broker that was asked.
    pub(super) broker: MemberId,
    /// The broker to ask if that one refuses or does not respond.
    pub(super) next: Option<MemberId>,
    /// Deadline of that broker's response.
    pub(super) deadline: Time,
}

/// The waiting requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingQueue {
    pending: VecDeque<PendingRequest>,
    last_ticket: u64,
}

impl PendingQueue {
    /// Issues a ticket for another request.
    pub(super) fn ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    /// Adds a waiting request.
    pub(super) fn add(&mut self, pending: PendingRequest) {
        self.pending.push_back(pending);
    }

    /// Takes the oldest request of a customer.
    pub(super) fn take_first(&mut self, customer: CustomerId) -> Option<PendingRequest> {
        self.take(|request| request.customer == customer)
    }

    /// Takes the oldest request of a customer that waits for the given broker.
    pub(super) fn take_first_for(
        &mut self,
        customer: CustomerId,
        broker: MemberId,
    ) -> Option<PendingRequest> {
        self.take(|request| request.customer == customer && request.broker == broker)
    }

    /// Takes a request whose broker missed its deadline.
    pub(super) fn take_expired(&mut self, now: Time) -> Option<PendingRequest> {
        self.take(|request| request.deadline <= now)
    }

    /// The earliest deadline.
    pub(super) fn due(&self) -> Option<Time> {
        self.pending.iter().map(|request| request.deadline).min()
    }

    fn take(&mut self, matches: impl Fn(&PendingRequest) -> bool) -> Option<PendingRequest> {
        let position = self.pending.iter().position(matches)?;
        self.pending.remove(position)
    }
}
