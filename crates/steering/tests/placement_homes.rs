//! Demand of customers whose requests only another region may serve.
//!
//! Guards against a shift of traffic in a region that computes its shares as if no requests came
//! from others. It is overloaded, requests that must run in it time out, and after the end of
//! traffic most of the returning callers belong there. With 0.09 of a region's requests like this,
//! a third to half of what arrived after the end of traffic ran in another region, where 0.15 may
//! change their region.

mod placement_common;

use placement_common::{SERVICE, name, peer, placement_request, roster, servers, step};
use std::time::{Duration, Instant};
use steering::deployment::{AllowedRegions, RequestKind};
use steering::placement::peer_update::{PeerUpdate, StartId};
use steering::placement::peers::Demand;
use steering::placement::{Ending, Peer, Roster};

/// Time that a request occupies a slot.
const WORK: Duration = Duration::from_millis(300);

/// Slots in the north and in the south.
const SLOTS: [f64; 2] = [20.0, 200.0];

/// One instance of a region, which counts its callers' requests.
struct Region {
    roster: Roster,
    own: Peer,
}

fn region(instance: &str, zone: &str, now: Instant) -> Region {
    let backend_servers = servers(&[("north-a", 4), ("south-a", 40)], 5);
    let mut roster = roster(instance, zone, &backend_servers, now);
    for _ in 0..200 {
        let ending = Ending::Answered { after: WORK, was_object_warm: false };
        roster.record_ending("south-a-0", ending, None, now);
    }
    Region { roster, own: peer(instance, zone) }
}

impl Region {
    /// Records the requests of one second that only `allowed` regions may serve.
    fn record_requests(&mut self, per_s: usize, allowed: &AllowedRegions, now: Instant) {
        for number in 0..per_s {
            let key_hash = steering::hash::mix(number as u64);
            let kind = RequestKind::Idempotent;
            self.roster.record_request(&name(SERVICE), kind, key_hash, allowed, now);
        }
    }

    /// Fraction of the region's movable requests that leaves it.
    fn moved(&self) -> f64 {
        self.roster.moved_shares().map(|(_, moved)| moved).sum()
    }
}

/// Two regions after half a minute, each with a rate of requests that any region may serve and a
/// rate of requests that only the north may serve.
fn after_half_a_minute(any_per_s: [usize; 2], north_per_s: [usize; 2]) -> [Region; 2] {
    let start = Instant::now();
    let mut regions = [region("one", "north-a", start), region("two", "south-a", start)];
    let north = AllowedRegions::from_list([name("north")]);
    for second in 1..=30u32 {
        let now = start + Duration::from_secs(second.into());
        for (index, region) in regions.iter_mut().enumerate() {
            region.record_requests(any_per_s[index], &AllowedRegions::Any, now);
            region.record_requests(north_per_s[index], &north, now);
            region.own.heartbeat += 1;
            region.own.demand = region.roster.demand();
        }
        let sent = regions.each_ref().map(|region| region.own.clone());
        for (index, region) in regions.iter_mut().enumerate() {
            step(&mut region.roster, &sent[index], &sent[1 - index..=1 - index], now);
        }
    }
    regions
}

// Guards against an overload of a region that does not count the requests which other regions must
// send to it.
#[test]
fn a_region_counts_the_requests_that_other_regions_must_send_to_it() {
    let [north, _] = after_half_a_minute([40, 40], [0, 30]);
    let busy = (40.0 * (1.0 - north.moved()) + 30.0) * WORK.as_secs_f64();
    assert!(busy <= 0.65 * SLOTS[0], "{busy} of {} slots, {} moved", SLOTS[0], north.moved());
}

#[test]
fn a_region_counts_its_own_requests_that_may_not_leave() {
    let [north, _] = after_half_a_minute([30, 40], [30, 0]);
    let busy = (30.0 * (1.0 - north.moved()) + 30.0) * WORK.as_secs_f64();
    assert!(busy <= 0.65 * SLOTS[0], "{busy} of {} slots, {} moved", SLOTS[0], north.moved());
}

#[test]
fn requests_that_must_leave_reduce_what_a_region_may_offload() {
    let [_, south] = after_half_a_minute([10, 360], [0, 30]);
    assert!(south.moved() < 0.01, "{} moved beside the requests that must leave", south.moved());
}

#[test]
fn remote_only_demand_is_part_of_an_update() {
    let mut sent = peer("one", "north-a");
    sent.heartbeat = 2;
    let remote_only_per_s = vec![(7, 1.25), (9, 0.5)];
    let demand = Demand { remote_only_per_s, keys: Some(0), warm_ms: None, ..Demand::default() };
    sent.demand = vec![(1, demand)];
    let mut updated = peer("one", "north-a");
    PeerUpdate::new(StartId::new(1, sent.started_ms), &sent).apply(&mut updated);
    assert_eq!(updated.demand, sent.demand);
}

#[test]
fn a_request_goes_to_a_region_that_may_serve_it() {
    let now = Instant::now();
    let mut south = region("two", "south-a", now);
    let north = AllowedRegions::from_list([name("north")]);
    let service = name(SERVICE);
    let mut request = placement_request(&service, 1, &[]);
    request.allowed_regions = &north;
    let choice = south.roster.choose(&request, now).expect("a backend server has a free slot");
    assert_eq!(&*choice.availability_zone, "north-a");
}
