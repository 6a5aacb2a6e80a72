//! Requests that leave a region although its backend servers bear them.
//!
//! **What was seen.** On a calm day 33 to 57 in 100 of a region's requests seemed to change their
//! region within two seconds, where 15 may.  No object had changed its region.
//!
//! **How it came about.** The traffic of the day ended at that moment, at the peak of that region.
//! From then on some 24 first offers still reached backend servers.  Of 620 requests a second, 14 to
//! 18 in 100 ran in other regions, 56 ms away, where those that stayed had 1 ms to go: what was on
//! its way was mostly what had left.  Where callers came back after a refusal, they met the same full
//! backend servers and were sent away beside the moved share.
//!
//! **Cause.** A region at half of its slots moved all that lay above 0.45, and sent 4 in 100 away
//! beside that; nothing bound the two together.  That instances read demand late had hidden it: with
//! current readings it came on 4 of 4 days, with late ones on 0 of 40, but on 2 of 4 days on which
//! the peak lasts longer.
//!
//! **Proof.** A line for each choice on a day that broke: first arrivals after the end 14 far of 24,
//! before it 0.18; shares moved within their pace, room constant.  With what leaves bound to 0.06 for
//! each service: 1 of 73 days and 0 of 4 with a longer peak; the one is the last test.

mod placement_common;

use placement_common::{SERVICE, ask, name, peer, roster, servers, step, with_demand};
use std::time::{Duration, Instant};
use steering::deployment::AllowedRegions;
use steering::placement::load::LoadReport;
use steering::placement::{Ending, PlacementCounts};

const SLOTS: u32 = 6;

const REQUESTS: u64 = 2_000;

/// Part of the requests that leaves a region of 60 slots, so many of which its traffic keeps busy;
/// half of its backend servers are full at the moment.
fn left_part(busy_slots: f32) -> f64 {
    // Arrange: shares have followed the demand for half a minute.
    let start = Instant::now();
    let known = servers(&[("north-a", 5), ("north-b", 5), ("south-a", 20)], SLOTS);
    let mut roster = roster("one", "north-a", &known, start);
    let warm_ms = 300.0;
    let own = with_demand(peer("one", "north-a"), busy_slots * 1_000.0 / warm_ms, 400);
    let other = with_demand(peer("two", "south-a"), 20.0, 400);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(800);
        step(&mut roster, &own, std::slice::from_ref(&other), now);
    }
    let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
    for id in known.keys().filter(|id| id.starts_with("north-a")) {
        roster.record_ending(id, Ending::Shed, Some(full), now);
    }
    now += Duration::from_millis(100);
    // Act.
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
        let Ok(choice) = roster.choose(&ask(&service, key_hash, &[]), now) else { continue };
        left += f64::from(u8::from(!choice.availability_zone.starts_with("north")));
        roster.record_ending(&choice.id, Ending::Unsent, None, now);
    }
    left / REQUESTS as f64
}

#[test]
fn few_requests_leave_a_region_that_bears_them() {
    for busy_slots in [20.0, 28.0, 30.0, 33.0] {
        let left = left_part(busy_slots);
        assert!(left < 0.08, "{left} left at {busy_slots} of 60 slots");
    }
}

#[test]
fn what_a_region_can_not_bear_leaves_it() {
    let left = left_part(54.0);
    assert!((0.3..0.6).contains(&left), "{left}");
}

#[test]
fn requests_that_leave_are_counted_by_why_they_did() {
    let now = Instant::now();
    let known = servers(&[("north-a", 1), ("south-a", 4)], SLOTS);
    let mut roster = roster("one", "north-a", &known, now);
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
        roster.choose(&ask(&service, 1, &[]), now).map(|choice| choice.availability_zone)
    };
    assert_eq!(request(&mut roster).as_deref(), Ok("north-a"));
    assert!(roster.take_placements().is_empty(), "none left the region");
    let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
    roster.record_ending("north-a-0", Ending::Shed, Some(full), now);
    assert_eq!(request(&mut roster).as_deref(), Ok("south-a"));
    let placed = PlacementCounts { spilled: 1, ..PlacementCounts::default() };
    assert_eq!(roster.take_placements(), [(service.clone(), placed)]);
    assert!(roster.take_placements().is_empty(), "they were taken");
}

#[test]
fn requests_that_may_not_run_in_their_region_are_counted_apart() {
    let now = Instant::now();
    let known = servers(&[("north-a", 1), ("south-a", 4)], SLOTS);
    let mut roster = roster("one", "north-a", &known, now);
    let service = name(SERVICE);
    let south = AllowedRegions::from_list([name("south")]);
    let mut homed = ask(&service, 1, &[]);
    homed.allowed_regions = &south;
    assert!(roster.choose(&homed, now).is_ok());
    roster.record_cross_region_dial(&service);
    let placed = PlacementCounts { homed: 1, opened: 1, ..PlacementCounts::default() };
    assert_eq!(roster.take_placements(), [(service.clone(), placed)]);
}

#[test]
fn few_requests_of_all_services_leave_together() {
    // What was seen with the bound of each service: 39 in 100 on one of 33 calm days.  One small service
    // at 0.8 of its slots moved 0.30, two large ones 0.06 each, and more left for want of room: nothing
    // bounds the sum.  Lines `placed`: 0.13 moved and 0.03 spilled of the services that requests left.
    let now = Instant::now();
    let small = name("agenda");
    let mut known = servers(&[("north-a", 5), ("north-b", 5), ("south-a", 20)], SLOTS);
    for (id, mut server) in servers(&[("north-a", 2), ("south-a", 4)], SLOTS) {
        server.service = small.clone();
        known.insert(name(&format!("agenda-{id}")), server);
    }
    let mut roster = roster("one", "north-a", &known, now);
    let (large_per_s, small_per_s) = (110.0, 32.0);
    let mut own = with_demand(peer("one", "north-a"), large_per_s, 400);
    let mut of_small = own.demand[0].clone();
    of_small.0 = steering::placement::roster::demand_key(&small);
    of_small.1.movable_per_s = small_per_s;
    own.demand.push(of_small);
    for beat in 1..=40 {
        step(&mut roster, &own, &[], now + Duration::from_millis(800) * beat);
    }
    let per_s = |service: &str| if service == SERVICE { large_per_s } else { small_per_s };
    let left: f64 = roster.moved_shares().map(|(name, moved)| moved * f64::from(per_s(name))).sum();
    let left = left / f64::from(large_per_s + small_per_s);
    assert!(left < 0.08, "{left} of the region's requests leave it");
}
