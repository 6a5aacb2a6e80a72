//! Token buckets that one broker manages for the customers of its region.

use super::super::fleet::MemberId;
use super::super::limit::Limit;
use super::super::message::LeaseRenewal;
use super::brokers::broker_share;
use super::capacity::pooled_capacity;
use super::growth::GrowthLimiter;
use super::leases::Leases;
use crate::Time;
use crate::deployment::CustomerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which leases are added up, so that many requests at once don't each iterate over all
/// instances.
const LEASE_UPDATE_INTERVAL: Duration = Duration::from_millis(5);

/// Fill level below which tokens are granted to requests only; what is above may go to other
/// regions and to instances that hold some for later. Where no requests of a customer arrive, all
/// of it may go.
const RESERVED_LEVEL: f64 = 0.5;

/// Fill level below which other regions are asked for tokens, so that they arrive before they are
/// needed.
const DEFICIT_LEVEL: f64 = 0.8;

/// Time after a customer's last request for which its bucket is checked for deficits.
const ACTIVE_PERIOD: Duration = Duration::from_secs(3);

/// Time between two deficit reports; the second applies after a report that brought no tokens.
const DEFICIT_REPORT_INTERVALS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(1_000)];

/// Retry delay where requests grew too fast: half of the time after which they may grow again.
const GROWTH_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    /// Fraction of the quota that is leased to this broker now.
    fraction: f64,
    /// Estimated number of refused requests that have not been retried yet.
    awaited_retries: f64,
    /// Growth of the customer's requests, where it is limited.
    growth: GrowthLimiter,
    last_request_at: Option<Time>,
    deficit_reported_at: Option<Time>,
    received_tokens: bool,
    /// Leased time already added to the bucket, by the id of the lease group.
    counted_fraction_s: Vec<(u64, f64)>,
}

impl Bucket {
    /// Adds the tokens that accrued from leases since the last call.
    fn accrue(
        &mut self,
        own: MemberId,
        customer: CustomerId,
        limit: &Limit,
        leases: &Leases,
        member_fraction: f64,
    ) {
        let mut more = 0.0;
        let mut counted = Vec::with_capacity(leases.groups().len());
        self.fraction = 0.0;
        for group in leases.groups() {
            let share = broker_share(own, customer, &group.brokers);
            let counted_before = self
                .counted_fraction_s
                .iter()
                .find(|(id, _)| *id == group.id)
                .map_or(0.0, |(_, fraction_s)| *fraction_s);
            more += limit.rate_per_s * (group.fraction_s - counted_before) * share;
            self.fraction += group.fraction * share;
            counted.push((group.id, group.fraction_s));
        }
        self.counted_fraction_s = counted;
        self.tokens =
            (self.tokens + more).min(pooled_capacity(limit, member_fraction) * self.fraction);
        self.awaited_retries = (self.awaited_retries - more).max(0.0);
    }
}

/// The token buckets of one broker.
#[derive(Debug)]
pub(super) struct Pool {
    own: MemberId,
    leases: Leases,
    buckets: BTreeMap<CustomerId, Bucket>,
    /// Fraction of every quota that one instance has.
    member_fraction: f64,
    /// Total fraction of instances that gave their first lease after a start.
    new_instances_fraction: f64,
    leases_updated_at: Option<Time>,
}

impl Pool {
    pub(super) fn new(own: MemberId) -> Self {
        Self {
            own,
            leases: Leases::default(),
            buckets: BTreeMap::new(),
            member_fraction: 1.0,
            new_instances_fraction: 0.0,
            leases_updated_at: None,
        }
    }

    /// Sets the fraction of every quota that one instance has.
    pub(super) fn set_member_fraction(&mut self, fraction: f64) {
        self.member_fraction = fraction;
    }

    /// Records a lease from an instance.
    pub(super) fn renew_lease(
        &mut self,
        from: MemberId,
        sequence: u64,
        renewal: LeaseRenewal,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) {
        // The previous lease counts until now.
        self.update_leases(limits, now);
        let brokers = renewal.brokers.clone();
        let fraction = renewal.fraction();
        let is_new_instance = self.leases.renew(from, sequence, renewal, now);
        // The new lease counts from now on.
        self.leases.update(now);
        if is_new_instance {
            self.new_instances_fraction += fraction;
            for (customer, bucket) in &mut self.buckets {
                let Some(limit) = limits.get(customer) else { continue };
                let initial_tokens = limit.initial_tokens * fraction;
                bucket.tokens += initial_tokens * broker_share(self.own, *customer, &brokers);
            }
        }
    }

    /// Updates the lease totals, and drops buckets of customers without a limit.
    fn update_leases(&mut self, limits: &BTreeMap<CustomerId, Limit>, now: Time) {
        self.leases.update(now);
        self.leases_updated_at = Some(now);
        self.buckets.retain(|customer, _| limits.contains_key(customer));
    }

    /// The up-to-date bucket of a customer and its limit; none if the customer is not limited.
    fn bucket(
        &mut self,
        customer: CustomerId,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Option<(&mut Bucket, Limit)> {
        let limit = *limits.get(&customer)?;
        if self.leases_updated_at.is_none_or(|at| now.since(at) >= LEASE_UPDATE_INTERVAL) {
            self.update_leases(limits, now);
        }
        let new_instances_fraction = self.new_instances_fraction;
        let shares = self
            .leases
            .groups()
            .iter()
            .map(|group| broker_share(self.own, customer, &group.brokers));
        let share = shares.fold(0.0, f64::max);
        let bucket = self.buckets.entry(customer).or_insert_with(|| Bucket {
            tokens: limit.initial_tokens * new_instances_fraction * share,
            ..Bucket::default()
        });
        bucket.accrue(self.own, customer, &limit, &self.leases, self.member_fraction);
        Some((bucket, limit))
    }

    /// Grants one request of a customer, and up to `more` additional tokens if they are spare.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry; requests that were refused earlier come first.
    pub(super) fn acquire(
        &mut self,
        customer: CustomerId,
        more: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Result<f64, Duration> {
        let member_fraction = self.member_fraction;
        let Some((bucket, limit)) = self.bucket(customer, limits, now) else { return Ok(1.0) };
        bucket.last_request_at = Some(now);
        if bucket.tokens >= 1.0 && limit.limits_growth && !bucket.growth.try_acquire(now) {
            return Err(GROWTH_RETRY_DELAY);
        }
        if bucket.tokens >= 1.0 {
            let spare = bucket.tokens
                - 1.0
                - RESERVED_LEVEL * pooled_capacity(&limit, member_fraction) * bucket.fraction;
            let granted = 1.0 + more.min(spare).max(0.0).floor();
            bucket.tokens -= granted;
            return Ok(granted);
        }
        let rate_per_s = limit.rate_per_s * bucket.fraction;
        let tokens_needed = 1.0 - bucket.tokens + bucket.awaited_retries;
        bucket.awaited_retries += 1.0;
        let max_delay_s = MAX_RETRY_DELAY.as_secs_f64();
        // Without any lease the wait can't be estimated.
        let retry_after_s = if rate_per_s > 0.0 { tokens_needed / rate_per_s } else { max_delay_s };
        Err(Duration::from_secs_f64(retry_after_s.min(max_delay_s)))
    }

    /// Takes up to `deficit` spare tokens, for a broker of another region.
    pub(super) fn transfer(
        &mut self,
        customer: CustomerId,
        deficit: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> f64 {
        let member_fraction = self.member_fraction;
        let Some((bucket, limit)) = self.bucket(customer, limits, now) else { return 0.0 };
        let is_active = bucket.last_request_at.is_some_and(|at| now.since(at) < ACTIVE_PERIOD);
        let reserved = if is_active { RESERVED_LEVEL } else { 0.0 };
        let spare =
            bucket.tokens - reserved * pooled_capacity(&limit, member_fraction) * bucket.fraction;
        let transferred = deficit.min(spare).max(0.0);
        bucket.tokens -= transferred;
        transferred
    }

    /// Adds unused tokens or those from another region; removes tokens if `amount` is negative.
    pub(super) fn adjust(
        &mut self,
        customer: CustomerId,
        amount: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) {
        let member_fraction = self.member_fraction;
        if let Some((bucket, limit)) = self.bucket(customer, limits, now) {
            bucket.tokens = (bucket.tokens + amount)
                .min(pooled_capacity(&limit, member_fraction) * bucket.fraction);
            bucket.received_tokens |= amount > 0.0;
        }
    }

    /// Token deficits of customers with recent requests, to be reported to other regions.
    pub(super) fn deficits(
        &mut self,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Vec<(CustomerId, f64)> {
        self.update_leases(limits, now);
        let mut deficits = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            let Some(limit) = limits.get(customer) else { continue };
            let is_active = bucket.last_request_at.is_some_and(|at| now.since(at) < ACTIVE_PERIOD);
            let interval = DEFICIT_REPORT_INTERVALS[usize::from(!bucket.received_tokens)];
            let is_due = bucket.deficit_reported_at.is_none_or(|at| now.since(at) >= interval);
            if !is_active || !is_due {
                continue;
            }
            bucket.accrue(self.own, *customer, limit, &self.leases, self.member_fraction);
            let capacity = pooled_capacity(limit, self.member_fraction) * bucket.fraction;
            let deficit = capacity * DEFICIT_LEVEL - bucket.tokens;
            if deficit > 0.0 {
                bucket.deficit_reported_at = Some(now);
                bucket.received_tokens = false;
                deficits.push((*customer, deficit));
            }
        }
        deficits
    }

    /// Tokens held for a customer; none if it has no bucket.
    pub(super) fn tokens(&self, customer: CustomerId) -> Option<f64> {
        self.buckets.get(&customer).map(|bucket| bucket.tokens)
    }

    /// Fraction of every quota that is leased to this broker now.
    pub(super) fn fraction(&self, now: Time) -> f64 {
        self.leases.fraction(now)
    }
}
