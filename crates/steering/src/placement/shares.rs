//! The share of a region's traffic for a service that other regions serve.
//!
//! The rule is the same on all instances of a region: each region keeps what its backend servers
//! can serve at a common utilization, and the rest goes where there is headroom.  Shares change at
//! once when backend servers are added or lost, and slowly otherwise.

use super::share_step::ShareStep;
use crate::terms::timings::ShiftLimits;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Utilization up to which a region keeps all of its own traffic: warm responses leave headroom for
/// cold ones, which take three times as long.
const OFFLOAD_UTILIZATION: f64 = 0.45;

/// Utilization above which a region is overloaded; below it, no more than
/// [`ShiftLimits::max_offload`] of its traffic leaves.
const OVERLOAD_UTILIZATION: f64 = 0.55;

/// Relative change of a region's installed slots that counts as backend servers added or lost.
const CAPACITY_CHANGE: f64 = 0.2;

/// Lower bound of the fraction of served requests that stay in the region, for the pace of services
/// that are short of usable slots.
const MIN_STAYED_FRACTION: f64 = 0.1;

/// Lowest pace of a service that is short of usable slots, per second.
const MIN_SHORT_CHANGE_PER_S: f64 = 0.005;

/// Demand and capacity of one region for one service, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Busy slots needed by requests that may run in other regions.
    pub movable: f64,
    /// Busy slots needed by requests that must run in the own region, and by uploads.
    pub pinned: f64,
    /// Busy slots needed by requests of callers in other regions that may not run there.
    pub inbound: f64,
    /// Busy slots needed in other regions by requests of its callers that may not run in it.
    pub remote_only: f64,
    /// Slots of backend servers that may be used.
    pub slots: f64,
    /// Slots of warm backend servers, including those that limits or versions keep from use.
    pub installed_slots: f64,
}

impl RegionLoad {
    /// Busy slots that its traffic needs, including requests of other regions that must run in it.
    pub fn demand(&self) -> f64 {
        self.movable + self.pinned + self.inbound
    }

    /// Whether limits or versions keep so many slots from use that the rest can't serve what stays
    /// in the region, if the fraction `moved` of the movable requests leaves it.
    pub fn is_short_of_usable_slots(&self, moved: f64) -> bool {
        self.slots < self.installed_slots && self.demand() - self.movable * moved > self.slots
    }

    /// Busy slots, in any region, that the requests of its callers need.
    fn caller_demand(&self) -> f64 {
        self.movable + self.pinned + self.remote_only
    }

    /// Busy slots that uploads need above a utilization if no other requests stay.
    fn uploads_above(&self, utilization: f64) -> f64 {
        (self.pinned + self.inbound - utilization * self.slots).clamp(0.0, self.pinned)
    }

    /// Busy slots above a utilization, as far as they are movable.
    fn movable_above(&self, utilization: f64) -> f64 {
        (self.demand() - utilization * self.slots).clamp(0.0, self.movable)
    }
}

/// Load of one service in all regions, and the work of one request.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoad {
    /// Demand and capacity by region.
    pub loads: BTreeMap<Arc<str>, RegionLoad>,
    /// Time that a request occupies a slot, in seconds.
    pub slot_s: f64,
}

/// Fraction of each service's requests that a region may let go although it is not overloaded, so
/// that no more than `max_offload` of the requests of all services leave it.  What services must let
/// go is subtracted first.
///
/// A shift is counted over all services, so a service that must let go much leaves less to others.
pub fn max_optional_offload<'a>(
    region: &str,
    services: impl Iterator<Item = &'a ServiceLoad>,
    max_offload: f64,
) -> f64 {
    let (mut requests_per_s, mut must_offload_per_s) = (0.0, 0.0);
    for ServiceLoad { loads, slot_s } in services {
        let Some(own) = loads.get(region).filter(|_| *slot_s > 0.0) else { continue };
        requests_per_s += own.caller_demand() / slot_s;
        let must_offload = own.movable_above(OVERLOAD_UTILIZATION)
            + own.uploads_above(OVERLOAD_UTILIZATION)
            + own.remote_only;
        must_offload_per_s += must_offload / slot_s;
    }
    if requests_per_s <= 0.0 {
        return max_offload;
    }
    (max_offload - must_offload_per_s / requests_per_s).max(0.0)
}

/// The limits of services that are short of usable slots: their shares change as fast as the shift
/// of all services together permits.
///
/// What such a service can't serve is refused until its share has changed, so its share should
/// change fast. A shift is counted over the requests of all services that are served: the fewer are
/// served in the region, the more a request counts that leaves it. `services` are given with the
/// fraction of their requests that leaves the region.
pub fn limits_of_short_services<'a>(
    region: &str,
    services: impl Iterator<Item = (&'a ServiceLoad, f64)>,
    limits: &ShiftLimits,
) -> ShiftLimits {
    let (mut short_per_s, mut others_per_s, mut left_per_s, mut stayed_per_s) =
        (0.0, 0.0, 0.0, 0.0);
    for (ServiceLoad { loads, slot_s }, moved) in services {
        let Some(own) = loads.get(region).filter(|_| *slot_s > 0.0) else { continue };
        let per_s = own.caller_demand() / slot_s;
        left_per_s += per_s * moved;
        stayed_per_s += (per_s * (1.0 - moved)).min(own.slots / slot_s);
        let sum =
            if own.is_short_of_usable_slots(moved) { &mut short_per_s } else { &mut others_per_s };
        *sum += per_s;
    }
    if short_per_s <= 0.0 {
        return *limits;
    }
    let served_per_s = stayed_per_s + left_per_s;
    let served_per_stayed = served_per_s / stayed_per_s.max(MIN_STAYED_FRACTION * served_per_s);
    // A request of another service leaves after it was served in the region, one of a short service
    // after it was refused: the first counts as one of those served, the second also adds to them.
    let left_for_short =
        limits.max_total_change_per_s * served_per_s - limits.max_change_per_s * others_per_s;
    let max_change_per_s =
        (left_for_short * served_per_stayed / short_per_s).clamp(MIN_SHORT_CHANGE_PER_S, 1.0);
    ShiftLimits { max_change_per_s, ..*limits }
}

/// Utilization assumed for all backend servers while there is no demand yet.
const EXPECTED_UTILIZATION: f64 = 0.5;

/// Utilization below which the measured demand is too small to use.
const MIN_UTILIZATION: f64 = 0.05;

/// Assumes the same demand in all regions where next to none was measured.  An instance that just
/// started must not learn the split by overloading a small region.
pub fn assume_demand(loads: &mut BTreeMap<Arc<str>, RegionLoad>) {
    let demand: f64 = loads.values().map(RegionLoad::demand).sum();
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    if demand < MIN_UTILIZATION * slots {
        let expected = EXPECTED_UTILIZATION * slots / loads.len().max(1) as f64;
        for load in loads.values_mut() {
            load.movable = expected;
        }
    }
}

/// Fractions of a region's movable traffic by the region that they go to.
pub type Split = BTreeMap<Arc<str>, f64>;

/// Computes the split of the movable traffic of `region` under the usual terms; the rest of 1 stays
/// in the region.
pub fn target_split(region: &str, loads: &BTreeMap<Arc<str>, RegionLoad>) -> Split {
    target_split_within(region, loads, ShiftLimits::default().max_offload)
}

/// Computes the split as [`target_split`] does, where a region that is not overloaded lets go no
/// more than the fraction `max_offload`.
pub fn target_split_within(
    region: &str,
    loads: &BTreeMap<Arc<str>, RegionLoad>,
    max_offload: f64,
) -> Split {
    let demand: f64 = loads.values().map(RegionLoad::demand).sum();
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    let Some(own) = loads.get(region) else { return Split::new() };
    if own.movable <= 0.0 || slots <= 0.0 {
        return Split::new();
    }
    let utilization = OFFLOAD_UTILIZATION.max(demand / slots);
    let optional = own.movable_above(utilization).min(max_offload * own.movable);
    let offload = own.movable_above(utilization.max(OVERLOAD_UTILIZATION)).max(optional);
    let headrooms: Vec<(&Arc<str>, f64)> = loads
        .iter()
        .filter(|(name, _)| ***name != *region)
        .map(|(name, load)| (name, (utilization * load.slots - load.demand()).max(0.0)))
        .collect();
    let headroom: f64 = headrooms.iter().map(|(_, headroom)| headroom).sum();
    // All movable traffic of a region without slots has to leave; otherwise no more than the
    // headroom elsewhere.
    let moved = if own.slots > 0.0 { offload.min(headroom) } else { offload };
    if moved <= 0.0 || headroom <= 0.0 {
        return Split::new();
    }
    headrooms
        .into_iter()
        .filter(|(_, part)| *part > 0.0)
        .map(|(name, part)| (name.clone(), moved / own.movable * part / headroom))
        .collect()
}

/// Computes the split of a region's uploads.
///
/// Uploads stay as long as the region can serve them without its other requests: their bytes are
/// the largest cost of leaving. What exceeds that goes where there is headroom, as a refusal costs
/// callers more. While no uploads were measured, they are split as other requests.
pub fn target_upload_split(region: &str, loads: &BTreeMap<Arc<str>, RegionLoad>) -> Split {
    let mut upload_loads = loads.clone();
    if let Some(own) = upload_loads.get_mut(region).filter(|own| own.pinned > 0.0) {
        own.movable = own.pinned;
        own.pinned = 0.0;
    }
    target_split_within(region, &upload_loads, 0.0)
}

/// The split in use, which changes towards the target.
#[derive(Clone, Debug, Default)]
pub struct RegionalShare {
    split: Split,
    installed_slots: f64,
    updated_at: Option<Instant>,
    /// Time until which the share changes faster.
    settling_until: Option<Instant>,
}

impl RegionalShare {
    /// Changes the split towards the target; `installed_slots` are those of the own region.
    ///
    /// Slots that limits or versions keep from use are not lost: a change of them is paced.
    pub fn step(
        &mut self,
        target: &Split,
        installed_slots: f64,
        limits: &ShiftLimits,
        now: Instant,
    ) -> ShareStep {
        let change = (installed_slots - self.installed_slots).abs();
        let capacity_changed = change > CAPACITY_CHANGE * self.installed_slots.max(1.0);
        let Some(updated_at) = self.updated_at.replace(now) else {
            self.split = target.clone();
            self.installed_slots = installed_slots;
            return ShareStep::AtOnce;
        };
        if capacity_changed {
            self.split = target.clone();
            self.installed_slots = installed_slots;
            self.settling_until = Some(now + limits.settling_time);
            return ShareStep::AtOnce;
        }
        let is_settling = self.settling_until.is_some_and(|until| until >= now);
        let max_per_s = match is_settling {
            true => limits.max_settling_change_per_s,
            false => limits.max_change_per_s,
        };
        let max_change = now.duration_since(updated_at).as_secs_f64() * max_per_s;
        for name in target.keys() {
            self.split.entry(name.clone()).or_insert(0.0);
        }
        for (name, share) in &mut self.split {
            let target_share = target.get(name).copied().unwrap_or(0.0);
            *share += (target_share - *share).clamp(-max_change, max_change);
        }
        self.split.retain(|_, share| *share > 0.0);
        ShareStep::Paced
    }

    /// The mean of shares weighted by fractions, with the age of the first.
    pub fn mean(parts: &[(&Self, f64)]) -> Self {
        let mut mean = parts.first().map(|(first, _)| (*first).clone()).unwrap_or_default();
        mean.split.clear();
        for (share, part) in parts {
            for (name, moved) in &share.split {
                *mean.split.entry(name.clone()).or_insert(0.0) += moved * part;
            }
        }
        mean
    }

    /// The other region that a key is moved to, or `None` if it stays; `position` is that of
    /// the key, in `0.0..1.0`.
    pub fn region_of(&self, position: f64) -> Option<&Arc<str>> {
        let mut end = 0.0;
        self.split.iter().find_map(|(name, share)| {
            end += share;
            (position < end).then_some(name)
        })
    }

    /// The fraction of requests that goes to other regions.
    pub fn moved_fraction(&self) -> f64 {
        self.split.values().sum()
    }

    /// The split in use.
    pub fn split(&self) -> &Split {
        &self.split
    }
}
