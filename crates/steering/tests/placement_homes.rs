//! Regions to which customers of other regions come, as they have their homes there.
//!
//! **What was seen.** Where 0.09 of a region's requests run elsewhere as their customers have their homes there, a third to
//! half of what arrived after the end of traffic ran elsewhere, where 15 in 100 may change their region.
//!
//! **How it came about.** The region of these homes was overloaded: it worked out how much of its own traffic to let go as
//! if nothing came from others.  So requests of customers at home there timed out, their callers came back, and after the
//! end of traffic most of what still came was theirs.

mod placement_common;

use placement_common::{SERVICE, ask, name, peer, roster, servers, step};
use std::time::{Duration, Instant};
use steering::deployment::{AllowedRegions, RequestKind};
use steering::placement::peer_update::{PeerUpdate, StartId};
use steering::placement::peers::Demand;
use steering::placement::{Ending, Peer, Roster};

/// Time that a request keeps a slot busy.
const WORK: Duration = Duration::from_millis(300);

/// Slots of a region: 20 in the north and 200 in the south.
const SLOTS: [f64; 2] = [20.0, 200.0];

/// One instance of a region, which counts what its callers ask.
struct Region {
    roster: Roster,
    own: Peer,
}

fn region(instance: &str, zone: &str, now: Instant) -> Region {
    let known = servers(&[("north-a", 4), ("south-a", 40)], 5);
    let mut roster = roster(instance, zone, &known, now);
    for _ in 0..200 {
        let ending = Ending::Answered { after: WORK, known_warm: false };
        roster.record_ending("south-a-0", ending, None, now);
    }
    Region { roster, own: peer(instance, zone) }
}

impl Region {
    /// Asks so many requests in a second, which only some regions may serve.
    fn asks(&mut self, per_s: usize, allowed: &AllowedRegions, now: Instant) {
        for number in 0..per_s {
            let key_hash = steering::hash::mix(number as u64);
            let kind = RequestKind::Idempotent;
            self.roster.record_request(&name(SERVICE), kind, key_hash, allowed, now);
        }
    }

    /// Part of the region's movable requests that leaves it.
    fn moved(&self) -> f64 {
        self.roster.moved_shares().map(|(_, moved)| moved).sum()
    }
}

/// Two regions after half a minute, in which callers of each asked so many requests a second that any region may serve,
/// and others that only the north may serve.
fn after_half_a_minute(any_per_s: [usize; 2], north_per_s: [usize; 2]) -> [Region; 2] {
    let start = Instant::now();
    let mut regions = [region("one", "north-a", start), region("two", "south-a", start)];
    let north = AllowedRegions::from_list([name("north")]);
    for second in 1..=30u32 {
        let now = start + Duration::from_secs(second.into());
        for (it, region) in regions.iter_mut().enumerate() {
            region.asks(any_per_s[it], &AllowedRegions::Any, now);
            region.asks(north_per_s[it], &north, now);
            region.own.heartbeat += 1;
            region.own.demand = region.roster.demand();
        }
        let told = regions.each_ref().map(|region| region.own.clone());
        for (it, region) in regions.iter_mut().enumerate() {
            step(&mut region.roster, &told[it], &told[1 - it..=1 - it], now);
        }
    }
    regions
}

// Guards against SHIFT where homes are elsewhere: a region that did not count what comes to it from others was
// overloaded, and those whose home it is came back after the end of traffic.
#[test]
fn shift_by_homes_in_a_region_that_does_not_count_them() {
    let [north, _] = after_half_a_minute([40, 40], [0, 30]);
    let busy = (40.0 * (1.0 - north.moved()) + 30.0) * WORK.as_secs_f64();
    assert!(busy <= 0.65 * SLOTS[0], "{busy} of {} slots, {} moved", SLOTS[0], north.moved());
}

#[test]
fn a_region_counts_its_own_requests_that_may_not_leave_as_such() {
    let [north, _] = after_half_a_minute([30, 40], [30, 0]);
    let busy = (30.0 * (1.0 - north.moved()) + 30.0) * WORK.as_secs_f64();
    assert!(busy <= 0.65 * SLOTS[0], "{busy} of {} slots, {} moved", SLOTS[0], north.moved());
}

#[test]
fn what_is_at_home_elsewhere_is_taken_off_what_a_region_may_let_go() {
    let [_, south] = after_half_a_minute([10, 360], [0, 30]);
    assert!(south.moved() < 0.01, "{} moved beside the homes", south.moved());
}

#[test]
fn homes_are_passed_on_with_news() {
    let mut told = peer("one", "north-a");
    told.heartbeat = 2;
    let remote_only_per_s = vec![(7, 1.25), (9, 0.5)];
    let demand = Demand { remote_only_per_s, keys: Some(0), warm_ms: None, ..Demand::default() };
    told.demand = vec![(1, demand)];
    let mut known = peer("one", "north-a");
    PeerUpdate::new(StartId::new(1, told.started_ms), &told).apply(&mut known);
    assert_eq!(known.demand, told.demand);
}

#[test]
fn a_request_goes_where_it_may() {
    let now = Instant::now();
    let mut south = region("two", "south-a", now);
    let north = AllowedRegions::from_list([name("north")]);
    let service = name(SERVICE);
    let mut homed = ask(&service, 1, &[]);
    homed.allowed_regions = &north;
    let choice = south.roster.choose(&homed, now).expect("there is room");
    assert_eq!(&*choice.availability_zone, "north-a");
}
