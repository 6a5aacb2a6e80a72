//! The capacity of one site, split between availability zones.
//!
//! The split is one object in the platform, changed by conditional updates only.  The holder of
//! each zone's session writes that zone's part, and divides it into grants for its instances.

use super::apportion::proportional_part;
use super::slots::WriteId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Slots of a site per availability zone, beyond the floor of the site's own zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SiteSplit {
    /// Parts, by name of the availability zone.
    pub parts: BTreeMap<Arc<str>, SitePart>,
    /// Unique id of this write.
    pub write: WriteId,
}

/// The part of one availability zone.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SitePart {
    /// Slots that the zone's instances may use.
    pub slots: u64,
    /// Demand in slots beyond that.
    #[serde(rename = "lacks")]
    pub unmet_demand: u64,
}

/// A zone's share of one site, as the holder of the zone's session manages it.
#[derive(Debug)]
pub struct SiteShare {
    zone: Arc<str>,
    split: SiteSplit,
    version: Option<u64>,
    is_read: bool,
    /// Slots that may be granted; never more than the object assigns to the zone.
    usable: u64,
    /// Generation of the lease in which the part was last written.
    confirmed_generation: Option<u64>,
}

/// A conditional update to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SiteWrite {
    /// What to write.
    pub split: SiteSplit,
    /// Version that the object must have; `None` for no object.
    pub expected: Option<u64>,
    /// Generation of the lease in which it is sent.
    pub lease_generation: u64,
    /// Slots that may be granted once it has taken effect.
    usable: u64,
}

/// The state from which the session holder decides on its zone's part.
#[derive(Clone, Copy, Debug)]
pub struct SiteView<'a> {
    /// Current generation of the lease.
    pub lease_generation: u64,
    /// Slots to split: the site's capacity minus the floor of its own zone.
    pub remainder: u64,
    /// Slots of the zone while no zone has unmet demand.
    pub baseline: u64,
    /// Demand of the zone's instances beyond their floors, in slots.
    pub demand: u64,
    /// The most slots that its instances could have in use; `None` while unknown.
    pub max_in_use: Option<u64>,
    /// Zones whose sessions have expired, with all use of their grants.
    pub expired_zones: &'a BTreeSet<Arc<str>>,
}

impl SiteShare {
    /// Creates a share of which nothing is known.
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            split: SiteSplit::default(),
            version: None,
            is_read: false,
            usable: 0,
            confirmed_generation: None,
        }
    }

    /// Returns the slots that may be granted in a generation of the lease.
    ///
    /// After a gap in the lease another zone may have taken the part, so it is usable again only
    /// once it was written in the new generation.
    pub fn usable(&self, lease_generation: u64) -> u64 {
        if self.confirmed_generation == Some(lease_generation) { self.usable } else { 0 }
    }

    /// Returns the names of the other zones that have a part.
    pub fn other_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.split.parts.keys().filter(|zone| **zone != self.zone)
    }

    /// Records a read of the object and its version; `None` for no object.
    pub fn on_read(&mut self, object: Option<(u64, SiteSplit)>) {
        self.is_read = true;
        let Some((version, split)) = object else { return };
        if self.version < Some(version) {
            self.version = Some(version);
            self.split = split;
            self.usable = self.usable.min(self.part().slots);
        }
    }

    /// Returns the write that is due, with `write` as its id.
    ///
    /// If the part is to shrink, the slots that may be granted are lowered at once.
    pub fn next_write(&mut self, view: &SiteView<'_>, write: WriteId) -> Option<SiteWrite> {
        if !self.is_read {
            return None;
        }
        let mut next = self.split.clone();
        next.parts.retain(|zone, _| *zone == self.zone || !view.expired_zones.contains(zone));
        let current = self.part();
        let free = view.remainder.saturating_sub(slots_of_other_zones(&next, &self.zone));
        let target_slots = target_slots(view, &next, &self.zone, current.slots).min(free);
        self.usable = self.usable.min(target_slots);
        // A part shrinks only once no instance can have the excess in use.
        let can_shrink = view.max_in_use.is_some_and(|in_use| in_use <= target_slots);
        let slots =
            if target_slots >= current.slots || can_shrink { target_slots } else { current.slots };
        let part = SitePart { slots, unmet_demand: view.demand.saturating_sub(slots) };
        let needs_confirmation =
            self.confirmed_generation != Some(view.lease_generation) && part != SitePart::default();
        let has_changed = slots != current.slots
            || is_significant_change(part.unmet_demand, current.unmet_demand);
        if !needs_confirmation && !has_changed {
            return None;
        }
        next.parts.insert(self.zone.clone(), part);
        next.write = write;
        Some(SiteWrite {
            split: next,
            expected: self.version,
            lease_generation: view.lease_generation,
            usable: target_slots.min(slots),
        })
    }

    /// Records that a write took effect and created `version` of the object.
    pub fn on_written(&mut self, write: SiteWrite, version: u64) {
        if self.version < Some(version) {
            self.version = Some(version);
            self.split = write.split;
            self.usable = write.usable;
            self.confirmed_generation = Some(write.lease_generation);
        }
    }

    /// Returns whether the zone's demand exceeds its part.
    pub fn has_unmet_demand(&self) -> bool {
        self.part().unmet_demand > 0
    }

    fn part(&self) -> SitePart {
        self.split.parts.get(&self.zone).copied().unwrap_or_default()
    }
}

fn slots_of_other_zones(split: &SiteSplit, zone: &str) -> u64 {
    split.parts.iter().filter(|(other, _)| &***other != zone).map(|(_, part)| part.slots).sum()
}

/// Returns the number of slots that the zone should have.
///
/// While no other zone has unmet demand, the zone keeps its slots, and grows to its demand and to
/// the baseline.  Otherwise it gets its demand, raised towards the baseline by spare slots, or its
/// part in proportion to demand if the total demand exceeds the remainder.
fn target_slots(view: &SiteView<'_>, split: &SiteSplit, zone: &str, current: u64) -> u64 {
    let others = || split.parts.iter().filter(|(other, _)| &***other != zone).map(|(_, part)| part);
    if others().all(|part| part.unmet_demand == 0) {
        return view.demand.max(current).max(view.baseline);
    }
    let demand_of_other_zones: u64 = others().map(|part| part.slots + part.unmet_demand).sum();
    match view.remainder.checked_sub(view.demand + demand_of_other_zones) {
        Some(spare) => view.demand.max(view.baseline.min(view.demand + spare)),
        None => {
            let preceding = split.parts.iter().filter(|(other, _)| &***other < zone);
            let demand_before = preceding.map(|(_, part)| part.slots + part.unmet_demand).sum();
            proportional_part(
                view.remainder,
                demand_before,
                view.demand,
                view.demand + demand_of_other_zones,
            )
        }
    }
}

/// Returns whether a change is worth a write: from or to 0, or by a factor of two.
fn is_significant_change(new: u64, old: u64) -> bool {
    new != old && (new == 0 || old == 0 || new >= old * 2 || old >= new * 2)
}
