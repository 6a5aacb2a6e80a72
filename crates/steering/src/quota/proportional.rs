//! A limiter that splits every quota in proportion to demand (flow-proportional shares, after
//! Raghavan et al., "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007).

use super::fleet::{Fleet, MemberId};
use super::limit::Limit;
use super::{Decision, Limiter, QuotaCheck, QuotaStatus, Ticket};
use crate::Time;
use crate::deployment::CustomerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two demand reports: one heartbeat.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);

/// Time constant of the demand average.
const DEMAND_AVERAGE_S: f64 = 2.0;

/// Time for which a demand report is valid; an instance that can't be reached keeps its share.
const REPORT_VALIDITY: Duration = Duration::from_secs(60);

/// Fraction of every quota that is divided evenly, for instances that demand moves to.
const EVEN_FRACTION: f64 = 0.3;

#[derive(Deserialize, Serialize)]
struct Report {
    from: MemberId,
    demand_per_s: Vec<(CustomerId, f32)>,
}

#[derive(Debug, Default)]
struct LocalState {
    tokens: f64,
    at: Option<Time>,
    demand_per_s: f64,
}

/// Grants on each instance a fraction of every quota in proportion to its demand.
#[derive(Debug)]
pub struct ProportionalLimiter {
    fleet: Fleet,
    limits: BTreeMap<CustomerId, Limit>,
    local: BTreeMap<CustomerId, LocalState>,
    reports: BTreeMap<MemberId, (Time, BTreeMap<CustomerId, f32>)>,
    datagrams: Vec<(MemberId, Vec<u8>)>,
    due: Time,
}

impl ProportionalLimiter {
    /// Creates the limiter of an instance that knows of no others yet.
    pub fn new(own: MemberId) -> Self {
        Self {
            fleet: Fleet::single(own),
            limits: BTreeMap::new(),
            local: BTreeMap::new(),
            reports: BTreeMap::new(),
            datagrams: Vec::new(),
            due: Time::default(),
        }
    }

    /// The fraction of a customer's quota that this instance grants.
    fn fraction(&self, customer: CustomerId) -> f64 {
        let local = self.local.get(&customer).map_or(0.0, |local| local.demand_per_s);
        let others =
            self.reports.values().filter_map(|(_, demand_per_s)| demand_per_s.get(&customer));
        let total_per_s = local + others.map(|demand_per_s| f64::from(*demand_per_s)).sum::<f64>();
        let demand_fraction = if total_per_s > 0.0 { local / total_per_s } else { 0.0 };
        EVEN_FRACTION * self.fleet.fraction() + (1.0 - EVEN_FRACTION) * demand_fraction
    }

    fn refill(&mut self, customer: CustomerId, limit: Limit, now: Time) -> &mut LocalState {
        let fraction = self.fraction(customer);
        let local = self.local.entry(customer).or_default();
        let elapsed_s = local.at.map_or(0.0, |at| now.since(at).as_secs_f64());
        local.tokens =
            (local.tokens + limit.rate_per_s * fraction * elapsed_s).min(limit.capacity * fraction);
        local.demand_per_s *= (-elapsed_s / DEMAND_AVERAGE_S).exp();
        local.at = Some(now);
        local
    }
}

impl Limiter for ProportionalLimiter {
    fn set_limits(&mut self, limits: BTreeMap<CustomerId, Limit>, now: Time) {
        self.limits = limits;
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
        let local = self.refill(customer, limit, now);
        local.demand_per_s += 1.0 / DEMAND_AVERAGE_S;
        if local.tokens >= 1.0 {
            local.tokens -= 1.0;
            return QuotaCheck::Decided(Decision::Granted);
        }
        QuotaCheck::Decided(Decision::Refused { retry_after: Duration::from_millis(500) })
    }

    fn charge(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            self.refill(customer, limit, now).tokens -= 1.0;
        }
    }

    fn refund(&mut self, customer: CustomerId, now: Time) {
        if let Some(limit) = self.limits.get(&customer).copied() {
            self.refill(customer, limit, now).tokens += 1.0;
        }
    }

    fn receive(&mut self, bytes: &[u8], now: Time) -> bool {
        let Ok(Report { from, demand_per_s }) = postcard::from_bytes(bytes) else { return false };
        self.reports.insert(from, (now, demand_per_s.into_iter().collect()));
        true
    }

    fn step(&mut self, now: Time) {
        self.due = now + REPORT_INTERVAL;
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_VALIDITY);
        let limits: Vec<(CustomerId, Limit)> =
            self.limits.iter().map(|(id, limit)| (*id, *limit)).collect();
        limits.into_iter().for_each(|(customer, limit)| {
            self.refill(customer, limit, now);
        });
        let active = self.local.iter().filter(|(_, local)| local.demand_per_s > 0.01);
        let demand_per_s =
            active.map(|(customer, local)| (*customer, local.demand_per_s as f32)).collect();
        let Ok(datagram) = postcard::to_allocvec(&Report { from: self.fleet.own, demand_per_s })
        else {
            return;
        };
        let others =
            self.fleet.region_members.iter().chain(self.fleet.other_regions.iter().flatten());
        let others = others.filter(|member| **member != self.fleet.own);
        self.datagrams.extend(others.map(|member| (*member, datagram.clone())));
    }

    fn due(&self) -> Time {
        self.due
    }

    fn take_datagrams(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    fn take_decisions(&mut self) -> Vec<(Ticket, Decision)> {
        Vec::new()
    }

    fn status(&self, customer: CustomerId, _: Time) -> Option<QuotaStatus> {
        self.limits.get(&customer)?;
        let local_tokens = self.local.get(&customer).map_or(0.0, |local| local.tokens);
        let fraction = self.fraction(customer);
        Some(QuotaStatus {
            local_tokens,
            pooled_tokens: None,
            fraction,
            refused_for: Duration::ZERO,
        })
    }
}
