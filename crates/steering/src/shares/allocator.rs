//! How the session holder divides what the floors leave of each cap among its zone's instances.

use super::apportion::proportional_part;
use super::timing::{GRANT_DURATION, SLOT_HOLD, plus_drift};
use super::{AllocationRequest, Amounts, Grant, Resource, WINDOW};
use crate::{Incarnation, Time};
use std::collections::HashMap;

/// Issues grants under one epoch; what all instances could use never exceeds the available amount.
#[derive(Debug)]
pub struct Allocator {
    epoch: u64,
    links_open_at: Time,
    sites_open_at: Time,
    requesters: HashMap<Incarnation, Requester>,
}

/// State of one instance that requests grants.
#[derive(Debug, Default)]
struct Requester {
    last_request_at: Time,
    /// Number of the latest request.
    number: u64,
    demand: Amounts,
    in_use: Amounts,
    issued: Vec<IssuedGrant>,
}

/// A grant that may still be in use.
#[derive(Debug)]
struct IssuedGrant {
    number: u64,
    amounts: Amounts,
    /// When requests that were sent under it have left every sliding window.
    link_free_at: Time,
    /// When slots that were taken under it count as free unless the instance reports otherwise.
    site_free_at: Time,
}

impl Allocator {
    /// Creates the allocator of a session whose claim was answered at `now`.
    ///
    /// Unless the session is the zone's `first`, grants of the previous epoch may be in use.  No
    /// grant is issued until the longest of them has expired, and none for sites until the slots
    /// taken under it count as free or [`Allocator::open_sites_if_all_reported`] opens them.
    pub fn new(epoch: u64, now: Time, first: bool) -> Self {
        let last_grant_ends = now + plus_drift(GRANT_DURATION);
        let (links_open_at, sites_open_at) = if first {
            (now, now)
        } else {
            (last_grant_ends + plus_drift(WINDOW), last_grant_ends + SLOT_HOLD)
        };
        Self { epoch, links_open_at, sites_open_at, requesters: HashMap::new() }
    }

    /// Returns the epoch of the grants.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of instances that hold grants.
    pub fn grantee_count(&self, now: Time) -> usize {
        self.requesters.values().filter(|state| state.is_active(now)).count()
    }

    /// Opens sites if each of `instances` has reported its slots in use with a request.
    ///
    /// The list must contain every instance that may occupy slots; owners of numbered slots are not
    /// enough where an instance may run without one.
    pub fn open_sites_if_all_reported(
        &mut self,
        mut instances: impl Iterator<Item = Incarnation>,
        now: Time,
    ) {
        if instances.all(|instance| self.requesters.contains_key(&instance)) {
            self.sites_open_at = self.sites_open_at.min(now);
        }
    }

    /// Answers a request for grants; `available` is the amount to divide among all instances.
    ///
    /// Returns `None` while grants of the previous epoch may be in use, for a request that is not
    /// newer than the latest one, and for a requester that knows of a higher epoch.
    pub fn grant(
        &mut self,
        requester: Incarnation,
        request: &AllocationRequest,
        available: &Amounts,
        now: Time,
    ) -> Option<Grant> {
        if now < self.links_open_at || request.known_epoch > self.epoch {
            return None;
        }
        self.requesters.retain(|_, state| state.may_hold_resources(now));
        if !self.requesters.entry(requester).or_default().record_request(request, now) {
            return None;
        }
        let amounts: Amounts = available
            .iter()
            .filter(|(resource, _)| resource.is_link() || self.sites_open(now))
            .map(|(resource, available)| {
                let fair = self.fair_share(requester, resource, *available, now);
                let free =
                    available.saturating_sub(self.max_in_use_by_others(requester, resource, now));
                (resource.clone(), fair.min(free))
            })
            .collect();
        let ends = now + plus_drift(GRANT_DURATION);
        self.requesters.entry(requester).or_default().issued.push(IssuedGrant {
            number: request.number,
            amounts: amounts.clone(),
            link_free_at: ends + plus_drift(WINDOW),
            site_free_at: ends + SLOT_HOLD,
        });
        Some(Grant { epoch: self.epoch, number: request.number, duration: GRANT_DURATION, amounts })
    }

    /// Releases all grants of an instance up to request `number`.
    ///
    /// The instance no longer uses them and occupies no slot.  A release that is older than the
    /// instance's latest request has no effect.
    pub fn release(&mut self, requester: Incarnation, epoch: u64, number: u64, now: Time) {
        let state = self.requesters.get_mut(&requester);
        let Some(state) = state.filter(|state| epoch == self.epoch && state.number <= number)
        else {
            return;
        };
        state.number = number;
        state.demand.clear();
        state.in_use.clear();
        for issued in &mut state.issued {
            issued.link_free_at = issued.link_free_at.min(now + plus_drift(WINDOW));
            issued.site_free_at = now;
        }
    }

    /// Returns the instance's share in proportion to demand; spare capacity is divided evenly.
    fn fair_share(
        &self,
        requester: Incarnation,
        resource: &Resource,
        available: u64,
        now: Time,
    ) -> u64 {
        let total_demand = self.demand(resource, now);
        let active = self.requesters.values().filter(|state| state.is_active(now)).count();
        let own_demand =
            self.requesters.get(&requester).map_or(0, |state| state.demand_for(resource));
        match available.checked_sub(total_demand) {
            Some(spare) => own_demand + spare.div_ceil(active.max(1) as u64),
            None => {
                let preceding = self
                    .requesters
                    .iter()
                    .filter(|(other, state)| **other < requester && state.is_active(now));
                let demand_before = preceding.map(|(_, state)| state.demand_for(resource)).sum();
                proportional_part(available, demand_before, own_demand, total_demand)
            }
        }
    }

    /// Returns the demand of all active instances beyond their floors.
    pub fn demand(&self, resource: &Resource, now: Time) -> u64 {
        let active = self.requesters.values().filter(|state| state.is_active(now));
        active.map(|state| state.demand_for(resource)).sum()
    }

    /// Returns the most that all instances could have in use beyond their floors.
    pub fn max_in_use(&self, resource: &Resource, now: Time) -> u64 {
        self.requesters.values().map(|state| state.max_in_use(resource, now)).sum()
    }

    /// Returns whether slots are granted: usage under previous epochs is known or has ended.
    pub fn sites_open(&self, now: Time) -> bool {
        now >= self.sites_open_at
    }

    fn max_in_use_by_others(&self, requester: Incarnation, resource: &Resource, now: Time) -> u64 {
        let others = self.requesters.iter().filter(|(other, _)| **other != requester);
        others.map(|(_, other)| other.max_in_use(resource, now)).sum()
    }
}

impl Requester {
    /// Records a request; returns false if it is not newer than the latest one.
    fn record_request(&mut self, request: &AllocationRequest, now: Time) -> bool {
        if request.number <= self.number {
            return false;
        }
        self.number = request.number;
        self.last_request_at = now;
        self.demand = request.demand.clone();
        self.in_use = request.in_use.clone();
        // Older grants are not used again, but requests sent under them are still in the window.
        for issued in
            self.issued.iter_mut().filter(|issued| issued.number < request.accepted_number)
        {
            issued.link_free_at = issued.link_free_at.min(now + plus_drift(WINDOW));
            issued.site_free_at = now;
        }
        self.issued.retain(|issued| issued.link_free_at.max(issued.site_free_at) > now);
        true
    }

    fn demand_for(&self, resource: &Resource) -> u64 {
        self.demand.get(resource).copied().unwrap_or(0)
    }

    fn is_active(&self, now: Time) -> bool {
        now.since(self.last_request_at) < GRANT_DURATION
    }

    fn may_hold_resources(&self, now: Time) -> bool {
        now < self.last_request_at + plus_drift(GRANT_DURATION) + SLOT_HOLD
    }

    /// Returns the most that the instance could have in use, by its grants and its last report.
    fn max_in_use(&self, resource: &Resource, now: Time) -> u64 {
        let is_free_at = |issued: &IssuedGrant| match resource {
            Resource::Link { .. } => issued.link_free_at,
            Resource::Site { .. } => issued.site_free_at,
        };
        let granted = self.issued.iter().filter(|issued| is_free_at(issued) > now);
        let granted = granted.filter_map(|issued| issued.amounts.get(resource)).max();
        let in_use = self.in_use.get(resource);
        granted.max(in_use).copied().unwrap_or(0)
    }
}
