//! Quotas of customers over all instances, without a central coordinator.
//!
//! A [`Limiter`] decides on one instance and exchanges datagrams with the limiters of other
//! instances through its outbox. Instances use [`PooledLimiter`]; [`EvenLimiter`] and
//! [`ProportionalLimiter`] are the alternatives that it was compared with, kept so that the
//! benchmark can be repeated.

mod even;
mod fleet;
mod limit;
mod message;
mod pooled;
mod proportional;

pub use even::EvenLimiter;
pub use fleet::{Fleet, MemberId};
pub use limit::{Limit, QuotaTerms};
pub use pooled::PooledLimiter;
pub use proportional::ProportionalLimiter;

use crate::Time;
use crate::deployment::CustomerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a request whose decision is pending.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run.
    Granted,
    /// The customer is over its quota.
    Refused {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// The immediate result of checking a request against its quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaCheck {
    /// The request is decided.
    Decided(Decision),
    /// Another instance was asked; [`Limiter::take_decisions`] returns the decision later.
    Pending(Ticket),
}

/// An instance's view of a customer's quota, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// Tokens of this instance: requests that it grants without asking another one.
    pub local_tokens: f64,
    /// Tokens that this instance holds as a broker for its region; none if it holds none for the
    /// customer.
    pub pooled_tokens: Option<f64>,
    /// Fraction of the quota that this instance grants from; 1 over all instances.
    pub fraction: f64,
    /// Remaining time for which requests are refused without asking a broker.
    pub refused_for: Duration,
}

/// Decides on one instance which requests of customers may run.
pub trait Limiter {
    /// Sets the limits of a configuration; a customer without one is not limited.
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, now: Time);

    /// Sets the instances that share quotas.
    fn set_fleet(&mut self, fleet: Fleet, now: Time);

    /// Checks a request against its customer's quota, or asks another instance to.
    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck;

    /// Counts an additional execution of a granted request, which is retried.
    fn charge(&mut self, customer: CustomerId, now: Time);

    /// Returns a token that was granted for a request which did not run.
    fn refund(&mut self, customer: CustomerId, now: Time);

    /// Processes a datagram from another instance; returns whether it could be decoded.
    fn receive(&mut self, message: &[u8], now: Time) -> bool;

    /// Does the periodic work that is due.
    fn step(&mut self, now: Time);

    /// The time of the next step.
    fn due(&self) -> Time;

    /// Takes the pending outgoing datagrams with their recipients.
    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)>;

    /// Takes the decisions on pending requests.
    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)>;

    /// The state of a customer's quota; none if the customer is not limited.
    fn status(&self, customer: CustomerId, now: Time) -> Option<QuotaStatus>;
}
