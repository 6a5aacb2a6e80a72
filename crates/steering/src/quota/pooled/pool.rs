//! What one keeper keeps for the customers of its region.

use super::super::fleet::MemberId;
use super::super::limit::Limit;
use super::super::message::Lending;
use super::brokers::share_of;
use super::capacity::pooled_capacity;
use super::growth::Growth;
use super::leases::Leases;
use crate::Time;
use crate::deployment::CustomerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two additions of what was lent, so that many requests at once don't each go through all
/// instances.
const ADD_EVERY: Duration = Duration::from_millis(5);

/// Part of what may be kept below which only requests get any; what is above goes to other regions and
/// to instances that keep some for later.  Where nobody asks for a customer, all of it may go.
const SPARED: f64 = 0.5;

/// Part of what may be kept up to which other regions are asked for more, so that it comes before it
/// is needed.
const LACKED_BELOW: f64 = 0.8;

/// Time after the last request of a customer until which its stock is looked after.
const LOOKED_AFTER: Duration = Duration::from_secs(3);

/// Time between two tellings of what is lacked, and after one that brought nothing.
const LACK_EVERY: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_000)];

/// Time after which to come back where requests grew too fast: half of the time in which they may grow
/// again.
const GROWTH_WAIT: Duration = Duration::from_millis(1_000);

/// Longest time that a refused caller is asked to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Stock {
    level: f64,
    /// Part of the quota that is lent to this keeper now.
    fraction: f64,
    /// Requests that were refused and told when to come back, as far as they are still to come.
    told_to_wait: f64,
    /// Requests that ran, where they may grow slowly only.
    growth: Growth,
    asked_at: Option<Time>,
    lack_told_at: Option<Time>,
    was_helped: bool,
    /// What was lent up to when the level was brought up to date, by what it was lent as.
    lent: Vec<(u64, f64)>,
}

impl Stock {
    /// Brings the level up to what was lent since.
    fn add(
        &mut self,
        own: MemberId,
        customer: CustomerId,
        limit: &Limit,
        leases: &Leases,
        member_part: f64,
    ) {
        let mut more = 0.0;
        let mut seen = Vec::with_capacity(leases.lent().len());
        self.fraction = 0.0;
        for lent in leases.lent() {
            let share = share_of(own, customer, &lent.keepers);
            let before = self.lent.iter().find(|(id, _)| *id == lent.id).map_or(0.0, |(_, it)| *it);
            more += limit.rate_per_s * (lent.part_s - before) * share;
            self.fraction += lent.fraction * share;
            seen.push((lent.id, lent.part_s));
        }
        self.lent = seen;
        self.level = (self.level + more).min(pooled_capacity(limit, member_part) * self.fraction);
        self.told_to_wait = (self.told_to_wait - more).max(0.0);
    }
}

/// What one keeper keeps.
#[derive(Debug)]
pub(super) struct Pool {
    own: MemberId,
    leases: Leases,
    stocks: BTreeMap<CustomerId, Stock>,
    /// Part of every quota that one instance has.
    member_part: f64,
    /// Part of every quota of instances that lent as they started.
    fresh_part: f64,
    added_at: Option<Time>,
}

impl Pool {
    pub(super) fn new(own: MemberId) -> Self {
        Self {
            own,
            leases: Leases::default(),
            stocks: BTreeMap::new(),
            member_part: 1.0,
            fresh_part: 0.0,
            added_at: None,
        }
    }

    /// Takes over the part of every quota that one instance has.
    pub(super) fn set_part(&mut self, fraction: f64) {
        self.member_part = fraction;
    }

    /// Takes over what an instance lends.
    pub(super) fn lend(
        &mut self,
        from: MemberId,
        number: u64,
        lending: Lending,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) {
        // Until now what it lent before holds.
        self.add(limits, now);
        let keepers = lending.keepers.clone();
        let fraction = lending.fraction();
        let is_fresh = self.leases.lend(from, number, lending, now);
        // What it lends now is part of what is kept from now on.
        self.leases.add_up(now);
        if is_fresh {
            self.fresh_part += fraction;
            for (customer, stock) in &mut self.stocks {
                let Some(limit) = limits.get(customer) else { continue };
                let initial_tokens = limit.initial_tokens * fraction;
                stock.level += initial_tokens * share_of(self.own, *customer, &keepers);
            }
        }
    }

    /// Adds up what was lent until now.
    fn add(&mut self, limits: &BTreeMap<CustomerId, Limit>, now: Time) {
        self.leases.add_up(now);
        self.added_at = Some(now);
        self.stocks.retain(|customer, _| limits.contains_key(customer));
    }

    /// The stock of a customer as it is now.
    fn stock(
        &mut self,
        customer: CustomerId,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Option<(&mut Stock, Limit)> {
        let limit = *limits.get(&customer)?;
        if self.added_at.is_none_or(|at| now.since(at) >= ADD_EVERY) {
            self.add(limits, now);
        }
        let fresh_part = self.fresh_part;
        let shares = self.leases.lent().iter().map(|it| share_of(self.own, customer, &it.keepers));
        let share = shares.fold(0.0, f64::max);
        let stock = self.stocks.entry(customer).or_insert_with(|| Stock {
            level: limit.initial_tokens * fresh_part * share,
            ..Stock::default()
        });
        stock.add(self.own, customer, &limit, &self.leases, self.member_part);
        Some((stock, limit))
    }

    /// Grants one request of a customer, and as much of `more` as is spared for later ones.
    ///
    /// # Errors
    ///
    /// Gives the time after which there may be room; those that were refused before come first.
    pub(super) fn acquire(
        &mut self,
        customer: CustomerId,
        more: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Result<f64, Duration> {
        let member_part = self.member_part;
        let Some((stock, limit)) = self.stock(customer, limits, now) else { return Ok(1.0) };
        stock.asked_at = Some(now);
        if stock.level >= 1.0 && limit.limits_growth && !stock.growth.take(now) {
            return Err(GROWTH_WAIT);
        }
        if stock.level >= 1.0 {
            let spared =
                stock.level - 1.0 - SPARED * pooled_capacity(&limit, member_part) * stock.fraction;
            let granted = 1.0 + more.min(spared).max(0.0).floor();
            stock.level -= granted;
            return Ok(granted);
        }
        let rate_per_s = limit.rate_per_s * stock.fraction;
        let ahead = 1.0 - stock.level + stock.told_to_wait;
        stock.told_to_wait += 1.0;
        let longest_s = LONGEST_WAIT.as_secs_f64();
        // While nothing is lent, nobody can tell.
        let wait_s = if rate_per_s > 0.0 { ahead / rate_per_s } else { longest_s };
        Err(Duration::from_secs_f64(wait_s.min(longest_s)))
    }

    /// Gives a keeper of another region as much as is spared.
    pub(super) fn spare(
        &mut self,
        customer: CustomerId,
        lack: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> f64 {
        let member_part = self.member_part;
        let Some((stock, limit)) = self.stock(customer, limits, now) else { return 0.0 };
        let is_asked = stock.asked_at.is_some_and(|at| now.since(at) < LOOKED_AFTER);
        let kept = if is_asked { SPARED } else { 0.0 };
        let spared = stock.level - kept * pooled_capacity(&limit, member_part) * stock.fraction;
        let given = lack.min(spared).max(0.0);
        stock.level -= given;
        given
    }

    /// Puts back what was not used, or what another region gave; takes what ran beside, if negative.
    pub(super) fn put(
        &mut self,
        customer: CustomerId,
        amount: f64,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) {
        let member_part = self.member_part;
        if let Some((stock, limit)) = self.stock(customer, limits, now) {
            stock.level =
                (stock.level + amount).min(pooled_capacity(&limit, member_part) * stock.fraction);
            stock.was_helped |= amount > 0.0;
        }
    }

    /// What is lacked of customers that ask, where other regions may have some to spare.
    pub(super) fn lacks(
        &mut self,
        limits: &BTreeMap<CustomerId, Limit>,
        now: Time,
    ) -> Vec<(CustomerId, f64)> {
        self.add(limits, now);
        let mut lacks = Vec::new();
        for (customer, stock) in &mut self.stocks {
            let Some(limit) = limits.get(customer) else { continue };
            let asks = stock.asked_at.is_some_and(|at| now.since(at) < LOOKED_AFTER);
            let pause = LACK_EVERY[usize::from(!stock.was_helped)];
            let is_due = stock.lack_told_at.is_none_or(|at| now.since(at) >= pause);
            if !asks || !is_due {
                continue;
            }
            stock.add(self.own, *customer, limit, &self.leases, self.member_part);
            let capacity = pooled_capacity(limit, self.member_part) * stock.fraction;
            let lack = capacity * LACKED_BELOW - stock.level;
            if lack > 0.0 {
                stock.lack_told_at = Some(now);
                stock.was_helped = false;
                lacks.push((*customer, lack));
            }
        }
        lacks
    }

    /// What is kept of a customer; none if nothing is.
    pub(super) fn level(&self, customer: CustomerId) -> Option<f64> {
        self.stocks.get(&customer).map(|stock| stock.level)
    }

    /// Part of every quota that is lent to this keeper now.
    pub(super) fn fraction(&self, now: Time) -> f64 {
        self.leases.fraction(now)
    }
}
