//! The capacity of one site, split between availability zones.
//!
//! The split is one object in the platform, changed by conditional updates only.  Each zone's part
//! is written by the holder of that zone's session, and divided among its instances as grants.

use super::apportion::proportional_part;
use super::slots::WriteId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What each availability zone may use of a site, beside the floor of the site's own zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteSplit {
    /// Parts by name of the availability zone.
    pub parts: BTreeMap<Arc<str>, SitePart>,
    /// Tells this write from every other one.
    pub write: WriteId,
}

/// The part of one availability zone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SitePart {
    /// Slots that its instances may use.
    pub slots: u64,
    /// Slots that they would use beyond that.
    #[serde(rename = "lacks")]
    pub unmet_demand: u64,
}

/// One site as the session holder of an availability zone sees it.
#[derive(Debug)]
pub struct SiteShare {
    zone: Arc<str>,
    split: SiteSplit,
    version: Option<u64>,
    is_read: bool,
    /// Slots that may be granted: never more than the object says.
    usable: u64,
    /// The run of the lease in which the part was last written.
    confirmed_run: Option<u64>,
}

/// A conditional update to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SiteWrite {
    /// What to write.
    pub split: SiteSplit,
    /// Version that the object must have; `None` for no object.
    pub expected: Option<u64>,
    /// The run of the lease in which it is sent.
    pub lease_generation: u64,
    /// Slots that may be granted once it took effect.
    usable: u64,
}

/// What the session holder knows when it decides on its zone's part.
#[derive(Clone, Copy, Debug)]
pub struct SiteView<'a> {
    /// The run of the lease now.
    pub lease_generation: u64,
    /// Slots to split: the site's capacity less the floor of its own zone.
    pub remainder: u64,
    /// Slots that the zone has while nobody lacks any.
    pub baseline: u64,
    /// Slots that the zone's instances would use beside their floors.
    pub demand: u64,
    /// The most that its instances could have in use; `None` while that is not known.
    pub max_in_use: Option<u64>,
    /// Zones whose sessions, and what was granted under them, are over.
    pub expired_zones: &'a BTreeSet<Arc<str>>,
}

impl SiteShare {
    /// Starts with nothing known.
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            split: SiteSplit::default(),
            version: None,
            is_read: false,
            usable: 0,
            confirmed_run: None,
        }
    }

    /// Returns the slots that may be granted in a run of the lease.
    ///
    /// After a gap in the lease another zone may have taken the part: it counts again only once it
    /// was written in the new run.
    pub fn usable(&self, run: u64) -> u64 {
        if self.confirmed_run == Some(run) { self.usable } else { 0 }
    }

    /// Returns the other zones that have a part.
    pub fn other_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.split.parts.keys().filter(|zone| **zone != self.zone)
    }

    /// Takes in a read of the object; `None` for no object.
    pub fn on_read(&mut self, object: Option<(u64, SiteSplit)>) {
        self.is_read = true;
        let Some((version, split)) = object else { return };
        if self.version < Some(version) {
            self.version = Some(version);
            self.split = split;
            self.usable = self.usable.min(self.part().slots);
        }
    }

    /// Returns the write that is due, with `write` as its id; lowers what may be granted at once.
    pub fn next_write(&mut self, view: &SiteView<'_>, write: WriteId) -> Option<SiteWrite> {
        if !self.is_read {
            return None;
        }
        let mut next = self.split.clone();
        next.parts.retain(|zone, _| *zone == self.zone || !view.expired_zones.contains(zone));
        let current = self.part();
        let free = view.remainder.saturating_sub(slots_of_others(&next, &self.zone));
        let goal = goal(view, &next, &self.zone, current.slots).min(free);
        self.usable = self.usable.min(goal);
        // A part is only given back once nobody can have it in use.
        let can_shrink = view.max_in_use.is_some_and(|held| held <= goal);
        let slots = if goal >= current.slots || can_shrink { goal } else { current.slots };
        let part = SitePart { slots, unmet_demand: view.demand.saturating_sub(slots) };
        let confirms =
            self.confirmed_run != Some(view.lease_generation) && part != SitePart::default();
        let changes =
            slots != current.slots || differs_much(part.unmet_demand, current.unmet_demand);
        if !confirms && !changes {
            return None;
        }
        next.parts.insert(self.zone.clone(), part);
        next.write = write;
        Some(SiteWrite {
            split: next,
            expected: self.version,
            lease_generation: view.lease_generation,
            usable: goal.min(slots),
        })
    }

    /// Takes in that a write took effect and made the object's `version`.
    pub fn on_written(&mut self, write: SiteWrite, version: u64) {
        if self.version < Some(version) {
            self.version = Some(version);
            self.split = write.split;
            self.usable = write.usable;
            self.confirmed_run = Some(write.lease_generation);
        }
    }

    /// Tells whether the zone would use more than its part.
    pub fn has_unmet_demand(&self) -> bool {
        self.part().unmet_demand > 0
    }

    fn part(&self) -> SitePart {
        self.split.parts.get(&self.zone).copied().unwrap_or_default()
    }
}

fn slots_of_others(split: &SiteSplit, zone: &str) -> u64 {
    split.parts.iter().filter(|(other, _)| &***other != zone).map(|(_, part)| part.slots).sum()
}

/// Returns how many slots the zone should have.
///
/// It keeps what it has while nobody else lacks any; else it keeps what it wants, and where that
/// is too much for all, its part by demand.
fn goal(view: &SiteView<'_>, split: &SiteSplit, zone: &str, current: u64) -> u64 {
    let others = || split.parts.iter().filter(|(other, _)| &***other != zone).map(|(_, part)| part);
    if others().all(|part| part.unmet_demand == 0) {
        return view.demand.max(current).max(view.baseline);
    }
    let demand_of_others: u64 = others().map(|part| part.slots + part.unmet_demand).sum();
    match view.remainder.checked_sub(view.demand + demand_of_others) {
        Some(spare) => view.demand.max(view.baseline.min(view.demand + spare)),
        None => {
            let ahead = split.parts.iter().filter(|(other, _)| &***other < zone);
            let before = ahead.map(|(_, part)| part.slots + part.unmet_demand).sum();
            proportional_part(view.remainder, before, view.demand, view.demand + demand_of_others)
        }
    }
}

/// Tells whether others should learn of a new number: from or to none, or by a factor of two.
fn differs_much(new: u64, old: u64) -> bool {
    new != old && (new == 0 || old == 0 || new >= old * 2 || old >= new * 2)
}
