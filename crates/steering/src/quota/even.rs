//! A limiter that splits every quota evenly: each instance grants its equal fraction by itself.

use super::fleet::{Fleet, MemberId};
use super::limit::Limit;
use super::{Decision, Limiter, QuotaCheck, QuotaStatus, Ticket};
use crate::Time;
use crate::deployment::CustomerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Grants an equal fraction of every quota on each instance, without messages.
#[derive(Debug)]
pub struct EvenLimiter {
    fleet: Fleet,
    limits: BTreeMap<CustomerId, Limit>,
    buckets: BTreeMap<CustomerId, (f64, Time)>,
}

impl EvenLimiter {
    /// Creates the limiter of an instance that knows of no others yet.
    pub fn new(own: MemberId) -> Self {
        Self { fleet: Fleet::single(own), limits: BTreeMap::new(), buckets: BTreeMap::new() }
    }

    fn refill(&mut self, customer: CustomerId, limit: Limit, now: Time) -> &mut f64 {
        let fraction = self.fleet.fraction();
        let start = (limit.initial_tokens * fraction, now);
        let (tokens, at) = self.buckets.entry(customer).or_insert(start);
        let accrued = limit.rate_per_s * fraction * now.since(*at).as_secs_f64();
        *tokens = (*tokens + accrued).min(limit.capacity * fraction);
        *at = now;
        tokens
    }
}

impl Limiter for EvenLimiter {
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, now: Time) {
        self.limits = limits;
        self.buckets.retain(|customer, _| self.limits.contains_key(customer));
        // Tokens accrue from when the limit is set, not from the first request.
        let limits: Vec<(CustomerId, Limit)> =
            self.limits.iter().map(|(id, limit)| (*id, *limit)).collect();
        limits.into_iter().for_each(|(customer, limit)| {
            self.refill(customer, limit, now);
        });
    }

    fn set_fleet(&mut self, fleet: Fleet, _: Time) {
        self.fleet = fleet;
    }

    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck {
        let Some(limit) = self.limits.get(&customer).copied() else {
            return QuotaCheck::Decided(Decision::Granted);
        };
        let rate = limit.rate_per_s * self.fleet.fraction();
        let tokens = self.refill(customer, limit, now);
        if *tokens >= 1.0 {
            *tokens -= 1.0;
            return QuotaCheck::Decided(Decision::Granted);
        }
        let retry_after = Duration::from_secs_f64(((1.0 - *tokens) / rate).clamp(0.0, 5.0));
        QuotaCheck::Decided(Decision::Refused { retry_after })
    }

    fn charge(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            *self.refill(customer, limit, now) -= 1.0;
        }
    }

    fn refund(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            *self.refill(customer, limit, now) += 1.0;
        }
    }

    fn receive(&mut self, _: &[u8], _: Time) -> bool {
        false
    }

    fn step(&mut self, _: Time) {}

    fn due(&self) -> Time {
        Time::from_ns(u64::MAX)
    }

    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        Vec::new()
    }

    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)> {
        Vec::new()
    }

    fn status(&self, customer: CustomerId, _: Time) -> Option<QuotaStatus> {
        self.limits.get(&customer)?;
        let local_tokens = self.buckets.get(&customer).map_or(0.0, |(tokens, _)| *tokens);
        let fraction = self.fleet.fraction();
        Some(QuotaStatus {
            local_tokens,
            pooled_tokens: None,
            fraction,
            refused_for: Duration::ZERO,
        })
    }
}
