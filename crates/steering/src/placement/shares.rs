//! How much of a region's traffic for a service goes to other regions.
//!
//! The rule is the same on all instances of a region: each region keeps what its backend servers
//! bear at a common utilization; the rest goes where there is room.  Shares move slowly while only
//! traffic changes, and at once when backend servers come or go.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Utilization up to which a region keeps all of its own traffic: warm answers leave room for those that
/// are cold, which take three times as long.
const KEPT_UTILIZATION: f64 = 0.45;

/// Utilization up to which a region bears its traffic: below it, no more leaves than [`MAX_OFFLOAD`].
const BORNE_UTILIZATION: f64 = 0.55;

/// Part of the requests that leave a region at most while it bears them: of each service, moved shares
/// and others together, and of all services, moved shares alone.
///
/// What leaves is longer on its way: when traffic drops, most of what still arrives is on its way to
/// other regions, and looks like a shift although no object moved.
pub(super) const MAX_OFFLOAD: f64 = 0.06;

/// Most that a share moves in a second: less than half of what may shift between windows of two
/// seconds.
const MOVE_PER_S: f64 = 0.03;

/// Most that a share moves in a second after backend servers came or went: the demand that was
/// measured until then says little, as answers wait and callers come back.
const SETTLE_PER_S: f64 = 0.15;

/// Time in which it does: that in which the measured demand is renewed twice.
const SETTLE: Duration = Duration::from_secs(4);

/// Change of a region's room that counts as backend servers coming or going, not as noise.
const ROOM_CHANGE: f64 = 0.2;

/// What one region asks for and has, for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoad {
    /// Busy slots that its traffic would need, of requests that may run elsewhere.
    pub movable: f64,
    /// Busy slots that requests need which stay near.
    pub near: f64,
    /// Busy slots that requests of other regions' callers need which may not run there.
    pub guests: f64,
    /// Busy slots elsewhere that requests of its callers need which may not run in it.
    pub homed: f64,
    /// Slots of backend servers that may be used.
    pub slots: f64,
}

impl RegionLoad {
    /// Busy slots that its traffic would need, and what has to run in it.
    pub fn demand(&self) -> f64 {
        self.movable + self.near + self.guests
    }

    /// Busy slots, here or elsewhere, that the requests of its callers need.
    fn caller_demand(&self) -> f64 {
        self.movable + self.near + self.homed
    }

    /// Movable busy slots above a utilization.
    fn above(&self, utilization: f64) -> f64 {
        (self.demand() - utilization * self.slots).clamp(0.0, self.movable)
    }
}

/// What one region has for one service, and what requests of it take.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoad {
    /// What each region asks for and has.
    pub loads: BTreeMap<Arc<str>, RegionLoad>,
    /// Time that a request keeps a slot busy, in seconds.
    pub slot_s: f64,
}

/// Part of each service's requests that a region may let go although it bears them, so that no more
/// than 0.06 of the requests of all services leave it: what some have to let go is taken off first.
///
/// A shift is counted over all services.  One small service at 0.8 of its slots that moved 0.30,
/// beside two large ones that moved 0.06 each, made 39 in 100 on 1 of 33 calm days.
pub fn max_optional_offload<'a>(
    region: &str,
    services: impl Iterator<Item = &'a ServiceLoad>,
) -> f64 {
    let (mut requests_per_s, mut must_leave_per_s) = (0.0, 0.0);
    for ServiceLoad { loads, slot_s } in services {
        let Some(own) = loads.get(region).filter(|_| *slot_s > 0.0) else { continue };
        requests_per_s += own.caller_demand() / slot_s;
        must_leave_per_s += (own.above(BORNE_UTILIZATION) + own.homed) / slot_s;
    }
    if requests_per_s <= 0.0 {
        return MAX_OFFLOAD;
    }
    (MAX_OFFLOAD - must_leave_per_s / requests_per_s).max(0.0)
}

/// Utilization of all backend servers that is expected while nobody has asked for anything.
const EXPECTED_UTILIZATION: f64 = 0.5;

/// Utilization below which the measured demand is too little to go by.
const LEAST_UTILIZATION: f64 = 0.05;

/// Fills in the demand that is expected, alike in all regions, where next to none was measured:
/// an instance that just started must not learn the split by overloading a small region.
pub fn assume_demand(loads: &mut BTreeMap<Arc<str>, RegionLoad>) {
    let demand: f64 = loads.values().map(RegionLoad::demand).sum();
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    if demand < LEAST_UTILIZATION * slots {
        let expected = EXPECTED_UTILIZATION * slots / loads.len().max(1) as f64;
        for load in loads.values_mut() {
            load.movable = expected;
        }
    }
}

/// Parts of a region's movable traffic that go to other regions.
pub type Split = BTreeMap<Arc<str>, f64>;

/// Computes the split of the movable traffic of `region`; what is missing to one stays.
pub fn target_split(region: &str, loads: &BTreeMap<Arc<str>, RegionLoad>) -> Split {
    target_split_within(region, loads, MAX_OFFLOAD)
}

/// Computes the split as [`target_split`] does, where a region that bears its traffic lets go no more than
/// `most_leaving` of it.
pub fn target_split_within(
    region: &str,
    loads: &BTreeMap<Arc<str>, RegionLoad>,
    most_leaving: f64,
) -> Split {
    let demand: f64 = loads.values().map(RegionLoad::demand).sum();
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    let Some(own) = loads.get(region) else { return Split::new() };
    if own.movable <= 0.0 || slots <= 0.0 {
        return Split::new();
    }
    let utilization = KEPT_UTILIZATION.max(demand / slots);
    let eased = own.above(utilization).min(most_leaving * own.movable);
    let overflow = own.above(utilization.max(BORNE_UTILIZATION)).max(eased);
    let rooms: Vec<(&Arc<str>, f64)> = loads
        .iter()
        .filter(|(name, _)| ***name != *region)
        .map(|(name, load)| (name, (utilization * load.slots - load.demand()).max(0.0)))
        .collect();
    let room: f64 = rooms.iter().map(|(_, room)| room).sum();
    // All movable traffic of a region without slots has to go; otherwise no more than there is room.
    let moved = if own.slots > 0.0 { overflow.min(room) } else { overflow };
    if moved <= 0.0 || room <= 0.0 {
        return Split::new();
    }
    rooms
        .into_iter()
        .filter(|(_, part)| *part > 0.0)
        .map(|(name, part)| (name.clone(), moved / own.movable * part / room))
        .collect()
}

/// The split in use, on its way to the target.
#[derive(Clone, Debug, Default)]
pub struct RegionalShare {
    split: Split,
    slots: f64,
    moved_at: Option<Instant>,
    /// Time until which it moves faster.
    settles_until: Option<Instant>,
}

impl RegionalShare {
    /// Moves towards the target; `slots` are those of the own region.
    pub fn step(&mut self, target: &Split, slots: f64, now: Instant) {
        let changed = (slots - self.slots).abs() > ROOM_CHANGE * self.slots.max(1.0);
        let Some(moved_at) = self.moved_at.replace(now) else {
            self.split = target.clone();
            self.slots = slots;
            return;
        };
        if changed {
            self.split = target.clone();
            self.slots = slots;
            self.settles_until = Some(now + SETTLE);
            return;
        }
        let settles = self.settles_until.is_some_and(|until| until >= now);
        let most_per_s = if settles { SETTLE_PER_S } else { MOVE_PER_S };
        let most = now.duration_since(moved_at).as_secs_f64() * most_per_s;
        for name in target.keys() {
            self.split.entry(name.clone()).or_insert(0.0);
        }
        for (name, share) in &mut self.split {
            let wanted = target.get(name).copied().unwrap_or(0.0);
            *share += (wanted - *share).clamp(-most, most);
        }
        self.split.retain(|_, share| *share > 0.0);
    }

    /// The mean of shares by the parts that they have, as new as the first.
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

    /// The region that a key belongs to, if it is another one; `place` is in `0.0..1.0`.
    pub fn region_of(&self, place: f64) -> Option<&Arc<str>> {
        let mut end = 0.0;
        self.split.iter().find_map(|(name, share)| {
            end += share;
            (place < end).then_some(name)
        })
    }

    /// The split in use.
    pub fn split(&self) -> &Split {
        &self.split
    }
}
