//! Requests that wait for what a keeper says.

use super::super::Ticket;
use super::super::fleet::MemberId;
use crate::Time;
use crate::deployment::CustomerId;
use std::collections::VecDeque;
use std::time::Duration;

/// Time that a keeper has to answer: many times the way within a region, and an eighth of the shortest
/// objectives.
pub(super) const ANSWER_PATIENCE: Duration = Duration::from_millis(50);

/// Time for which a keeper that was silent is asked last.
pub(super) const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) customer: CustomerId,
    /// The keeper that was asked.
    pub(super) asked: MemberId,
    /// The keeper to ask if that one refuses or is silent.
    pub(super) other: Option<MemberId>,
    /// Time after which that one is silent.
    pub(super) until: Time,
}

/// The requests that wait, oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    next: u64,
}

impl Queue {
    /// A ticket for one more request.
    pub(super) fn ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    /// Lets a request wait.
    pub(super) fn add(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Takes the oldest request of a customer.
    pub(super) fn take_first(&mut self, customer: CustomerId) -> Option<Waiting> {
        self.take(|it| it.customer == customer)
    }

    /// Takes the oldest request of a customer that waits for a keeper.
    pub(super) fn take_asking(&mut self, customer: CustomerId, asked: MemberId) -> Option<Waiting> {
        self.take(|it| it.customer == customer && it.asked == asked)
    }

    /// Takes a request whose keeper is silent.
    pub(super) fn take_unanswered(&mut self, now: Time) -> Option<Waiting> {
        self.take(|it| it.until <= now)
    }

    /// The time at which the next keeper is silent.
    pub(super) fn due(&self) -> Option<Time> {
        self.waiting.iter().map(|it| it.until).min()
    }

    fn take(&mut self, is_it: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let position = self.waiting.iter().position(is_it)?;
        self.waiting.remove(position)
    }
}
