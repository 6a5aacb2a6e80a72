//! Quotas of customers over all instances, without a coordinator that must live.
//!
//! A [`Limiter`] decides on one instance; what it tells the limiters of other instances goes through
//! its outbox.  [`PooledLimiter`] is the one that instances use; [`EvenLimiter`] and [`ProportionalLimiter`] are the ways that
//! it was weighed against, and stay so that the comparison can be run again.

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

/// A request that waits for a decision.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may run.
    Granted,
    /// Its customer has asked too much.
    Refused {
        /// Time after which there may be room.
        retry_after: Duration,
    },
}

/// What a limiter says of a request at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaCheck {
    /// It is decided.
    Decided(Decision),
    /// Another instance was asked.
    Pending(Ticket),
}

/// What an instance believes of a customer's quota, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatus {
    /// Requests that may run here at once.
    pub local_tokens: f64,
    /// Requests that may run at once from what this instance keeps for others; none if it keeps none.
    pub pooled_tokens: Option<f64>,
    /// Part of the quota that this instance has to give, of 1 over all instances.
    pub fraction: f64,
    /// Time for which requests are refused without asking.
    pub refused_for: Duration,
}

/// Decides on one instance which requests of customers run.
pub trait Limiter {
    /// Takes over the limits of a configuration; a customer without one is not limited.
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, now: Time);

    /// Takes over which instances there are.
    fn set_fleet(&mut self, fleet: Fleet, now: Time);

    /// Decides on a request, or asks others.
    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck;

    /// Counts a run beside the one that was granted, as a request is repeated.
    fn charge(&mut self, customer: CustomerId, now: Time);

    /// Takes back a run that was granted and did not happen.
    fn refund(&mut self, customer: CustomerId, now: Time);

    /// Takes over what another instance told; returns whether it could be read.
    fn receive(&mut self, told: &[u8], now: Time) -> bool;

    /// Does what is due.
    fn step(&mut self, now: Time);

    /// The time of the next step.
    fn due(&self) -> Time;

    /// Takes what is to be told, and to whom.
    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)>;

    /// Takes the decisions on requests that waited.
    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)>;

    /// What is believed of a customer; none if it is not limited.
    fn status(&self, customer: CustomerId, now: Time) -> Option<QuotaStatus>;
}
