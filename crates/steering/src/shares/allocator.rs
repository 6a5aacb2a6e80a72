//! How the session holder divides the rest of each cap among the instances of its zone.

use super::apportion::part_by_demand;
use super::timing::{GRANT_DURATION, SLOT_HOLD, plus_drift};
use super::{AllocationRequest, Amounts, Grant, Resource, WINDOW};
use crate::{Incarnation, Time};
use std::collections::HashMap;

/// Issues grants under one epoch, such that what all could hold never exceeds the rest.
#[derive(Debug)]
pub struct Allocator {
    epoch: u64,
    opens_at: Time,
    sites_open_at: Time,
    askers: HashMap<Incarnation, Asker>,
}

/// What is known of one instance.
#[derive(Debug, Default)]
struct Asker {
    heard_at: Time,
    number: u64,
    wanted: Amounts,
    in_use: Amounts,
    issued: Vec<Issued>,
}

/// A grant that may still be in use.
#[derive(Debug)]
struct Issued {
    number: u64,
    amounts: Amounts,
    /// When requests that were sent under it have left every window.
    link_free_at: Time,
    /// When slots that were taken under it count as free, without further news.
    site_free_at: Time,
}

impl Allocator {
    /// Takes up a session whose claim was answered at `now`.
    ///
    /// Unless the session is the zone's `first`, grants of the epoch before may be in use: none is
    /// issued until the longest of them is over, and none at sites until the slots taken under it
    /// count as free, or until [`Allocator::open_sites_if_all_reported`].
    pub fn new(epoch: u64, now: Time, first: bool) -> Self {
        let over = now + plus_drift(GRANT_DURATION);
        let (opens_at, sites_open_at) =
            if first { (now, now) } else { (over + plus_drift(WINDOW), over + SLOT_HOLD) };
        Self { epoch, opens_at, sites_open_at, askers: HashMap::new() }
    }

    /// Returns the epoch of the grants.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns how many instances hold grants.
    pub fn grantee_count(&self, now: Time) -> usize {
        self.askers.values().filter(|asker| asker.is_heard(now)).count()
    }

    /// Takes in which instances may occupy slots: once all were heard from, sites are open.
    ///
    /// The list must be whole: it is not where an instance may work without a numbered slot.
    pub fn open_sites_if_all_reported(
        &mut self,
        mut instances: impl Iterator<Item = Incarnation>,
        now: Time,
    ) {
        if instances.all(|instance| self.askers.contains_key(&instance)) {
            self.sites_open_at = self.sites_open_at.min(now);
        }
    }

    /// Answers a request for grants, of which `rest` is the amount to divide.
    ///
    /// `None` while grants of the epoch before may be in use, for a request older than one that was
    /// answered, and for an asker that knows of a higher epoch.
    pub fn grant(
        &mut self,
        asker: Incarnation,
        ask: &AllocationRequest,
        rest: &Amounts,
        now: Time,
    ) -> Option<Grant> {
        if now < self.opens_at || ask.known_epoch > self.epoch {
            return None;
        }
        self.askers.retain(|_, asker| asker.is_counted(now));
        if !self.askers.entry(asker).or_default().hear(ask, now) {
            return None;
        }
        let amounts: Amounts = rest
            .iter()
            .filter(|(resource, _)| resource.is_link() || self.sites_open(now))
            .map(|(resource, rest)| {
                let fair = self.fair_part(asker, resource, *rest, now);
                let free = rest.saturating_sub(self.held_by_others(asker, resource, now));
                (resource.clone(), fair.min(free))
            })
            .collect();
        let ends = now + plus_drift(GRANT_DURATION);
        self.askers.entry(asker).or_default().issued.push(Issued {
            number: ask.number,
            amounts: amounts.clone(),
            link_free_at: ends + plus_drift(WINDOW),
            site_free_at: ends + SLOT_HOLD,
        });
        Some(Grant { epoch: self.epoch, number: ask.number, duration: GRANT_DURATION, amounts })
    }

    /// Takes back all grants of an instance up to request `number`.
    ///
    /// The instance uses none of them and occupies no slot, unless it asked again since.
    pub fn release(&mut self, asker: Incarnation, epoch: u64, number: u64, now: Time) {
        let asker = self.askers.get_mut(&asker);
        let Some(asker) = asker.filter(|asker| epoch == self.epoch && asker.number <= number)
        else {
            return;
        };
        asker.number = number;
        asker.wanted.clear();
        asker.in_use.clear();
        for issued in &mut asker.issued {
            issued.link_free_at = issued.link_free_at.min(now + plus_drift(WINDOW));
            issued.site_free_at = now;
        }
    }

    /// Returns the instance's part by demand; what nobody wants is divided evenly.
    fn fair_part(&self, asker: Incarnation, resource: &Resource, rest: u64, now: Time) -> u64 {
        let wanted = self.demand(resource, now);
        let heard = self.askers.values().filter(|asker| asker.is_heard(now)).count();
        let own = self.askers.get(&asker).map_or(0, |asker| asker.wants(resource));
        match rest.checked_sub(wanted) {
            Some(spare) => own + spare.div_ceil(heard.max(1) as u64),
            None => {
                let ahead = self
                    .askers
                    .iter()
                    .filter(|(other, state)| **other < asker && state.is_heard(now));
                let before = ahead.map(|(_, state)| state.wants(resource)).sum();
                part_by_demand(rest, before, own, wanted)
            }
        }
    }

    /// Returns what all instances would use beside their floors.
    pub fn demand(&self, resource: &Resource, now: Time) -> u64 {
        let heard = self.askers.values().filter(|asker| asker.is_heard(now));
        heard.map(|asker| asker.wants(resource)).sum()
    }

    /// Returns the most that all instances could have in use beside their floors.
    pub fn max_in_use(&self, resource: &Resource, now: Time) -> u64 {
        self.askers.values().map(|asker| asker.held(resource, now)).sum()
    }

    /// Tells whether what is in use at sites is known, and sites are granted.
    pub fn sites_open(&self, now: Time) -> bool {
        now >= self.sites_open_at
    }

    fn held_by_others(&self, asker: Incarnation, resource: &Resource, now: Time) -> u64 {
        let others = self.askers.iter().filter(|(other, _)| **other != asker);
        others.map(|(_, other)| other.held(resource, now)).sum()
    }
}

impl Asker {
    /// Takes in a request; false if a later one came before it.
    fn hear(&mut self, ask: &AllocationRequest, now: Time) -> bool {
        if ask.number <= self.number {
            return false;
        }
        self.number = ask.number;
        self.heard_at = now;
        self.wanted = ask.demand.clone();
        self.in_use = ask.in_use.clone();
        // Grants before the one accepted are never used again, but were until a moment ago.
        for issued in self.issued.iter_mut().filter(|i| i.number < ask.accepted_number) {
            issued.link_free_at = issued.link_free_at.min(now + plus_drift(WINDOW));
            issued.site_free_at = now;
        }
        self.issued.retain(|issued| issued.link_free_at.max(issued.site_free_at) > now);
        true
    }

    fn wants(&self, resource: &Resource) -> u64 {
        self.wanted.get(resource).copied().unwrap_or(0)
    }

    fn is_heard(&self, now: Time) -> bool {
        now.since(self.heard_at) < GRANT_DURATION
    }

    fn is_counted(&self, now: Time) -> bool {
        now < self.heard_at + plus_drift(GRANT_DURATION) + SLOT_HOLD
    }

    /// Returns the most that the instance could have in use.
    fn held(&self, resource: &Resource, now: Time) -> u64 {
        let is_free_at = |issued: &Issued| match resource {
            Resource::Link { .. } => issued.link_free_at,
            Resource::Site { .. } => issued.site_free_at,
        };
        let granted = self.issued.iter().filter(|issued| is_free_at(issued) > now);
        let granted = granted.filter_map(|issued| issued.amounts.get(resource)).max();
        let in_use = self.in_use.get(resource);
        granted.max(in_use).copied().unwrap_or(0)
    }
}
