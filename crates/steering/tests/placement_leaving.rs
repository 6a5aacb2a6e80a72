//! Limit on the requests that leave a region which has the capacity for them.
//!
//! At the end of the traffic at a region's peak, 33 to 57% of its requests seemed to change their
//! region within two seconds, where 15% are allowed, although no object had moved. Of 620 requests
//! per second, 14 to 18% ran in other regions, 56 ms away, where local ones took 1 ms to arrive. So
//! most of the requests still in flight were those that had left: of the 24 that reached backend
//! servers after the end, 14 were in other regions, compared with a fraction of 0.18 before it.
//! Shares moved no faster than permitted, and the capacity was constant. Callers that retried after
//! a refusal met the same full backend servers, and left the region on top of the moved share.
//!
//! The cause was that a region at half of its slots moved all load above a utilization of 0.45 and
//! sent another 4% away, with no limit on the sum. Late demand readings hid this: it happened on 4
//! of 4 days with current readings and on 0 of 40 with late ones, but on 2 of 4 with a longer peak.
//! With a limit of 0.06 per service it happened on 1 of 73 days and on 0 of 4 with a longer peak;
//! the last test covers that one.

mod placement_common;

use placement_common::{
    SERVICE, name, peer, placement_request, roster, servers, step, with_demand,
};
use std::time::{Duration, Instant};
use steering::deployment::AllowedRegions;
use steering::placement::load::LoadReport;
use steering::placement::{Ending, PlacementCounts};

const SLOTS: u32 = 6;

const REQUESTS: u64 = 2_000;

/// Returns the fraction of requests that leave a region of 60 slots when its traffic needs
/// `busy_slots` of them and half of its backend servers are full.
fn left_fraction(busy_slots: f32) -> f64 {
    // Let the shares follow the demand for half a minute.
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 5), ("north-b", 5), ("south-a", 20)], SLOTS);
    let mut roster = roster("one", "north-a", &backend_servers, start);
    let warm_ms = 300.0;
    let own = with_demand(peer("one", "north-a"), busy_slots * 1_000.0 / warm_ms, 400);
    let other = with_demand(peer("two", "south-a"), 20.0, 400);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(800);
        step(&mut roster, &own, std::slice::from_ref(&other), now);
    }
    let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
    for id in backend_servers.keys().filter(|id| id.starts_with("north-a")) {
        roster.record_ending(id, Ending::Shed, Some(full), now);
    }
    now += Duration::from_millis(100);
    let service = name(SERVICE);
    let mut left = 0.0;
    for key in 0..REQUESTS {
        let key_hash = steering::hash::mix(key);
        roster.record_request(
            &service,
            steering::deployment::RequestKind::Idempotent,
            key_hash,
            &AllowedRegions::Any,
            now,
        );
        let Ok(choice) = roster.choose(&placement_request(&service, key_hash, &[]), now) else {
            continue;
        };
        left += f64::from(u8::from(!choice.availability_zone.starts_with("north")));
        roster.record_ending(&choice.id, Ending::Unsent, None, now);
    }
    left / REQUESTS as f64
}

#[test]
fn few_requests_leave_a_region_with_enough_capacity() {
    for busy_slots in [20.0, 28.0, 30.0, 33.0] {
        let left = left_fraction(busy_slots);
        assert!(left < 0.08, "{left} left at {busy_slots} of 60 slots");
    }
}

#[test]
fn requests_beyond_the_capacity_of_a_region_leave_it() {
    let left = left_fraction(54.0);
    assert!((0.3..0.6).contains(&left), "{left}");
}

#[test]
fn requests_that_leave_are_counted_by_reason() {
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 1), ("south-a", 4)], SLOTS);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let service = name(SERVICE);
    let request = |roster: &mut steering::placement::Roster| {
        (0..25).for_each(|key| {
            roster.record_request(
                &service,
                steering::deployment::RequestKind::Idempotent,
                key,
                &AllowedRegions::Any,
                now,
            );
        });
        roster
            .choose(&placement_request(&service, 1, &[]), now)
            .map(|choice| choice.availability_zone)
    };
    assert_eq!(request(&mut roster).as_deref(), Ok("north-a"));
    assert!(roster.take_placements().is_empty(), "no request left the region");
    let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
    roster.record_ending("north-a-0", Ending::Shed, Some(full), now);
    assert_eq!(request(&mut roster).as_deref(), Ok("south-a"));
    let counts = PlacementCounts { spilled: 1, displaced: 1, ..PlacementCounts::default() };
    assert_eq!(roster.take_placements(), [(service.clone(), counts)]);
    assert!(roster.take_placements().is_empty(), "the counts were reset");
}

#[test]
fn requests_that_may_not_run_in_their_region_are_counted_separately() {
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 1), ("south-a", 4)], SLOTS);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let service = name(SERVICE);
    let south = AllowedRegions::from_list([name("south")]);
    let mut homed = placement_request(&service, 1, &[]);
    homed.allowed_regions = &south;
    assert!(roster.choose(&homed, now).is_ok());
    roster.record_cross_region_dial(&service);
    let counts = PlacementCounts { homed: 1, opened: 1, ..PlacementCounts::default() };
    assert_eq!(roster.take_placements(), [(service.clone(), counts)]);
}

#[test]
fn few_requests_of_all_services_together_leave() {
    // Guards against a limit for each service only: on one of 33 calm days, 39% of the requests
    // changed their region. A small service at 0.8 of its slots moved 0.30, two large ones moved
    // 0.06 each, and more requests left for lack of free slots. Of the requests of the services
    // concerned, 0.13 were moved and 0.03 spilled.
    let now = Instant::now();
    let small = name("agenda");
    let mut backend_servers = servers(&[("north-a", 5), ("north-b", 5), ("south-a", 20)], SLOTS);
    for (id, mut server) in servers(&[("north-a", 2), ("south-a", 4)], SLOTS) {
        server.service = small.clone();
        backend_servers.insert(name(&format!("agenda-{id}")), server);
    }
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let (large_per_s, small_per_s) = (110.0, 32.0);
    let mut own = with_demand(peer("one", "north-a"), large_per_s, 400);
    let mut small_demand = own.demand[0].clone();
    small_demand.0 = steering::placement::roster::demand_key(&small);
    small_demand.1.movable_per_s = small_per_s;
    own.demand.push(small_demand);
    for beat in 1..=40 {
        step(&mut roster, &own, &[], now + Duration::from_millis(800) * beat);
    }
    let per_s = |service: &str| if service == SERVICE { large_per_s } else { small_per_s };
    let left: f64 = roster.moved_shares().map(|(name, moved)| moved * f64::from(per_s(name))).sum();
    let left = left / f64::from(large_per_s + small_per_s);
    assert!(left < 0.08, "{left} of the region's requests leave it");
}
