//! Tokens that an instance holds for its own requests.

use super::capacity::local_capacity;
use crate::Time;
use crate::deployment::CustomerId;
use crate::quota::limit::Limit;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tokens of one customer.
#[derive(Debug, Default)]
struct CustomerTokens {
    tokens: f64,
    refused_until: Time,
}

/// Tokens of all customers, and until when requests are refused without asking a broker.
#[derive(Debug, Default)]
pub(super) struct LocalTokens {
    by_customer: BTreeMap<CustomerId, CustomerTokens>,
}

impl LocalTokens {
    /// Takes a token for a request, if there is one.
    pub(super) fn take(&mut self, customer: CustomerId) -> bool {
        match self.by_customer.get_mut(&customer) {
            Some(held) if held.tokens >= 1.0 => {
                held.tokens -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, customer: CustomerId, tokens: f64) {
        self.by_customer.entry(customer).or_default().tokens += tokens;
    }

    /// Removes the tokens beyond the capacity and returns their number.
    pub(super) fn take_surplus(&mut self, customer: CustomerId, capacity: f64) -> f64 {
        let held = self.by_customer.entry(customer).or_default();
        let surplus = (held.tokens - capacity).max(0.0);
        held.tokens -= surplus;
        surplus
    }

    /// Refuses requests until this time.
    pub(super) fn refuse_until(&mut self, customer: CustomerId, until: Time) {
        self.by_customer.entry(customer).or_default().refused_until = until;
    }

    /// Time for which requests are still refused.
    pub(super) fn refused_for(&self, customer: CustomerId, now: Time) -> Duration {
        self.by_customer.get(&customer).map_or(Duration::ZERO, |held| held.refused_until.since(now))
    }

    /// Number of tokens held.
    pub(super) fn tokens(&self, customer: CustomerId) -> f64 {
        self.by_customer.get(&customer).map_or(0.0, |held| held.tokens)
    }

    /// Applies new limits, of which this instance may hold a fraction.
    pub(super) fn set_limits(&mut self, limits: &BTreeMap<CustomerId, Limit>, fraction: f64) {
        self.by_customer.retain(|customer, held| {
            let capacity = limits.get(customer).map(|limit| local_capacity(limit, fraction));
            held.tokens = held.tokens.min(capacity.unwrap_or(0.0));
            capacity.is_some()
        });
    }
}
