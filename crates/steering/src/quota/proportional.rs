//! Each instance grants a part of every quota by its part of the demand (flow-proportional shares, after
//! Raghavan et al., "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007).

use super::fleet::{Fleet, MemberId};
use super::limit::Limit;
use super::{Decision, Limiter, QuotaCheck, QuotaStatus, Ticket};
use crate::Time;
use crate::deployment::CustomerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two tellings: a heartbeat.
const TELL_EVERY: Duration = Duration::from_millis(800);

/// Time over which demand is averaged.
const DEMAND_WINDOW_S: f64 = 2.0;

/// Time for which what an instance told holds; an instance that is not heard keeps its part.
const HEARD_FOR: Duration = Duration::from_secs(60);

/// Part of every quota that is divided evenly, for those that the demand moves to.
const FLOOR: f64 = 0.3;

#[derive(Deserialize, Serialize)]
struct Demand {
    from: MemberId,
    per_s: Vec<(CustomerId, f32)>,
}

#[derive(Debug, Default)]
struct Own {
    level: f64,
    at: Option<Time>,
    per_s: f64,
}

/// Each instance grants a part of every quota by its part of the demand.
#[derive(Debug)]
pub struct ProportionalLimiter {
    fleet: Fleet,
    limits: BTreeMap<CustomerId, Limit>,
    own: BTreeMap<CustomerId, Own>,
    heard: BTreeMap<MemberId, (Time, BTreeMap<CustomerId, f32>)>,
    told: Vec<(MemberId, Vec<u8>)>,
    due: Time,
}

impl ProportionalLimiter {
    /// Begins as the only instance.
    pub fn new(own: MemberId) -> Self {
        Self {
            fleet: Fleet::single(own),
            limits: BTreeMap::new(),
            own: BTreeMap::new(),
            heard: BTreeMap::new(),
            told: Vec::new(),
            due: Time::default(),
        }
    }

    /// The part of a customer's quota that is granted here.
    fn fraction(&self, customer: CustomerId) -> f64 {
        let own = self.own.get(&customer).map_or(0.0, |own| own.per_s);
        let others = self.heard.values().filter_map(|(_, per_s)| per_s.get(&customer));
        let all = own + others.map(|per_s| f64::from(*per_s)).sum::<f64>();
        let by_demand = if all > 0.0 { own / all } else { 0.0 };
        FLOOR * self.fleet.fraction() + (1.0 - FLOOR) * by_demand
    }

    fn kept(&mut self, customer: CustomerId, limit: Limit, now: Time) -> &mut Own {
        let fraction = self.fraction(customer);
        let own = self.own.entry(customer).or_default();
        let elapsed_s = own.at.map_or(0.0, |at| now.since(at).as_secs_f64());
        own.level =
            (own.level + limit.rate_per_s * fraction * elapsed_s).min(limit.capacity * fraction);
        own.per_s *= (-elapsed_s / DEMAND_WINDOW_S).exp();
        own.at = Some(now);
        own
    }
}

impl Limiter for ProportionalLimiter {
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, now: Time) {
        self.limits = limits;
        let limits: Vec<(CustomerId, Limit)> =
            self.limits.iter().map(|(id, it)| (*id, *it)).collect();
        limits.into_iter().for_each(|(customer, limit)| {
            self.kept(customer, limit, now);
        });
    }

    fn set_fleet(&mut self, fleet: Fleet, _: Time) {
        self.fleet = fleet;
    }

    fn acquire(&mut self, customer: CustomerId, now: Time) -> QuotaCheck {
        let Some(limit) = self.limits.get(&customer).copied() else {
            return QuotaCheck::Decided(Decision::Granted);
        };
        let own = self.kept(customer, limit, now);
        own.per_s += 1.0 / DEMAND_WINDOW_S;
        if own.level >= 1.0 {
            own.level -= 1.0;
            return QuotaCheck::Decided(Decision::Granted);
        }
        QuotaCheck::Decided(Decision::Refused { retry_after: Duration::from_millis(500) })
    }

    fn charge(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            self.kept(customer, limit, now).level -= 1.0;
        }
    }

    fn refund(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            self.kept(customer, limit, now).level += 1.0;
        }
    }

    fn receive(&mut self, told: &[u8], now: Time) -> bool {
        let Ok(Demand { from, per_s }) = postcard::from_bytes(told) else { return false };
        self.heard.insert(from, (now, per_s.into_iter().collect()));
        true
    }

    fn step(&mut self, now: Time) {
        self.due = now + TELL_EVERY;
        self.heard.retain(|_, (at, _)| now.since(*at) < HEARD_FOR);
        let limits: Vec<(CustomerId, Limit)> =
            self.limits.iter().map(|(id, it)| (*id, *it)).collect();
        limits.into_iter().for_each(|(customer, limit)| {
            self.kept(customer, limit, now);
        });
        let asked = self.own.iter().filter(|(_, own)| own.per_s > 0.01);
        let per_s = asked.map(|(customer, own)| (*customer, own.per_s as f32)).collect();
        let Ok(told) = postcard::to_allocvec(&Demand { from: self.fleet.own, per_s }) else {
            return;
        };
        let others =
            self.fleet.region_members.iter().chain(self.fleet.other_regions.iter().flatten());
        let others = others.filter(|it| **it != self.fleet.own);
        self.told.extend(others.map(|member| (*member, told.clone())));
    }

    fn due(&self) -> Time {
        self.due
    }

    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        std::mem::take(&mut self.told)
    }

    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)> {
        Vec::new()
    }

    fn status(&self, customer: CustomerId, _: Time) -> Option<QuotaStatus> {
        self.limits.get(&customer)?;
        let local_tokens = self.own.get(&customer).map_or(0.0, |own| own.level);
        let fraction = self.fraction(customer);
        Some(QuotaStatus {
            local_tokens,
            pooled_tokens: None,
            fraction,
            refused_for: Duration::ZERO,
        })
    }
}
