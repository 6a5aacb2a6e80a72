//! Which backend server a request goes to.

mod placement_common;

use placement_common::{ask, name, peer, roster, server, servers, step, with_demand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{AllowedRegions, Evacuations, RequestKind};
use steering::placement::load::LoadReport;
use steering::placement::{Ending, PlacementRequest, Roster};

const ALL: [(&str, usize); 4] = [("north-a", 4), ("north-b", 4), ("south-a", 4), ("south-b", 4)];

fn chosen(roster: &mut Roster, key: u64, now: Instant) -> Option<Arc<str>> {
    let service = name(placement_common::SERVICE);
    roster.choose(&ask(&service, key, &[]), now).ok().map(|choice| choice.id)
}

fn answered(roster: &mut Roster, id: &str, now: Instant) {
    let after = Duration::from_millis(200);
    roster.record_ending(id, Ending::Answered { after, known_warm: false }, None, now);
}

#[test]
fn all_instances_of_a_region_send_an_object_to_the_same_backend_server() {
    let now = Instant::now();
    let known = servers(&ALL, 9);
    let mut first = roster("one", "north-a", &known, now);
    let mut second = roster("two", "north-b", &known, now);
    for key in 0..200 {
        let choice = chosen(&mut first, key, now);
        assert_eq!(choice, chosen(&mut second, key, now));
        let id = choice.expect("there is room");
        answered(&mut first, &id, now);
        answered(&mut second, &id, now);
    }
}

#[test]
fn one_backend_server_less_moves_only_its_own_objects() {
    let now = Instant::now();
    let mut known = servers(&ALL, 9);
    let mut before = roster("one", "north-a", &known, now);
    let homes: Vec<_> = (0..200)
        .map(|key| {
            let id = chosen(&mut before, key, now).expect("there is room");
            answered(&mut before, &id, now);
            id
        })
        .collect();
    let gone = homes[0].clone();
    known.remove(&gone);
    let mut after = roster("one", "north-a", &known, now);
    for (key, home) in homes.iter().enumerate().filter(|(_, home)| **home != gone) {
        let id = chosen(&mut after, key as u64, now).expect("there is room");
        answered(&mut after, &id, now);
        assert_eq!(id, *home);
    }
}

/// Chooses for one object again and again; returns how often each backend server got it.
fn spread(roster: &mut Roster, now: Instant) -> BTreeMap<Arc<str>, u32> {
    let mut at: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..40 {
        if let Some(id) = chosen(roster, 7, now) {
            *at.entry(id).or_default() += 1;
        }
    }
    at
}

#[test]
fn an_object_stays_on_one_backend_server_under_load() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL, 3), now);
    let own = with_demand(peer("one", "north-a"), 40.0, 96);
    let other = with_demand(peer("two", "south-a"), 40.0, 96);
    step(&mut roster, &own, &[other], now);
    // What spills is bounded, and there were no requests to earn it with.
    let at = spread(&mut roster, now);
    assert_eq!(at.len(), 1, "{at:?}");
    assert!(at.keys().all(|id| id.starts_with("north")), "{at:?}");
}

#[test]
fn few_objects_are_spread_over_all_backend_servers() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL, 3), now);
    // Eight objects on 16 backend servers: one replica each would leave half of them idle.
    let own = with_demand(peer("one", "north-a"), 40.0, 4);
    let other = with_demand(peer("two", "south-a"), 40.0, 4);
    step(&mut roster, &own, &[other], now);
    let at = spread(&mut roster, now);
    assert_eq!(at.len(), 2, "{at:?}");
    assert!(at.keys().all(|id| id.starts_with("north")), "{at:?}");
}

#[test]
fn objects_do_not_spread_before_their_number_is_known() {
    let now = Instant::now();
    let service = name(placement_common::SERVICE);
    let mut roster = roster("one", "north-a", &servers(&ALL, 3), now);
    // Three requests of three objects: there may be many more.
    for key in 0..3 {
        roster.record_request(&service, RequestKind::Idempotent, key, &AllowedRegions::Any, now);
    }
    let mut own = peer("one", "north-a");
    own.demand = roster.demand();
    let other = with_demand(peer("two", "south-a"), 40.0, 96);
    step(&mut roster, &own, &[other], now);
    let at = spread(&mut roster, now);
    assert_eq!(at.len(), 1, "{at:?}");
}

#[test]
fn what_finds_no_room_near_spills_for_few_requests_only() {
    let now = Instant::now();
    let service = name(placement_common::SERVICE);
    let mut roster = roster("one", "north-a", &servers(&ALL, 1), now);
    let mut far = 0;
    for key in 0..400 {
        roster.record_request(&service, RequestKind::Idempotent, key, &AllowedRegions::Any, now);
        if let Some(id) = chosen(&mut roster, key, now) {
            far += u32::from(id.starts_with("south"));
        }
    }
    assert!((1..=16).contains(&far), "{far} of 400 went to the other region");
}

#[test]
fn a_region_whose_backend_servers_fail_is_left_at_once() {
    let now = Instant::now();
    let known = servers(&ALL, 9);
    let mut roster = roster("one", "north-a", &known, now);
    for id in known.keys().filter(|id| id.starts_with("north")) {
        roster.record_ending(id, Ending::Failed, None, now);
    }
    let far = (0..50)
        .filter_map(|key| chosen(&mut roster, key, now))
        .filter(|id| id.starts_with("south"))
        .count();
    assert_eq!(far, 50);
}

#[test]
fn draining_and_evacuated_and_excluded_backend_servers_get_nothing() {
    let now = Instant::now();
    let mut known = servers(&[("north-a", 2), ("north-b", 2)], 9);
    for (id, record) in &mut known {
        record.draining = **id == *"north-a-0";
    }
    let mut roster = roster("one", "north-a", &known, now);
    let zones: Evacuations = [name("north-b")].into();
    roster.set_evacuations(&zones, now);
    let service = name(placement_common::SERVICE);
    let excluded = [name("north-a-1")];
    for key in 0..50 {
        assert_eq!(chosen(&mut roster, key, now).as_deref(), Some("north-a-1"));
        answered(&mut roster, "north-a-1", now);
        let refusal = roster.choose(&ask(&service, key, &excluded), now).expect_err("none is left");
        assert_eq!(refusal.usable, 0);
    }
}

#[test]
fn a_region_that_may_not_serve_gets_nothing() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL, 9), now);
    let service = name(placement_common::SERVICE);
    let allowed = AllowedRegions::from_list([name("south")]);
    for key in 0..50 {
        let ask = PlacementRequest { allowed_regions: &allowed, ..ask(&service, key, &[]) };
        let choice = roster.choose(&ask, now).expect("there is room");
        assert!(choice.id.starts_with("south"), "{}", choice.id);
        answered(&mut roster, &choice.id, now);
    }
}

#[test]
fn an_upload_stays_in_its_zone_while_there_is_room() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL, 9), now);
    let service = name(placement_common::SERVICE);
    for key in 0..50 {
        let ask = PlacementRequest { kind: RequestKind::Upload, ..ask(&service, key, &[]) };
        let choice = roster.choose(&ask, now).expect("there is room");
        assert_eq!(&*choice.availability_zone, "north-a");
        answered(&mut roster, &choice.id, now);
    }
}

#[test]
fn a_full_backend_server_is_waited_for_only_with_patience() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 2), now);
    let service = name(placement_common::SERVICE);
    let patient = |least_ms| PlacementRequest {
        min_wait_budget: Duration::from_millis(least_ms),
        remaining_objective: Duration::ZERO,
        ..ask(&service, 1, &[])
    };
    for _ in 0..2 {
        roster.choose(&patient(0), now).expect("a slot is free");
    }
    // One more waits for half of a mean answer of 300 ms.
    let refusal = roster.choose(&patient(149), now).expect_err("too little patience");
    assert!(refusal.retry_after >= Duration::from_millis(150), "{refusal:?}");
    roster.choose(&patient(151), now).expect("enough patience");
}

#[test]
fn a_report_counts_the_request_that_it_came_with() {
    let now = Instant::now();
    let known = servers(&[("north-a", 1)], 1);
    let mut roster = roster("one", "north-a", &known, now);
    let id = chosen(&mut roster, 1, now).expect("there is room");
    let report = LoadReport { running: 1, waiting: 0, slots: 1 };
    let ending = Ending::Answered { after: Duration::from_millis(200), known_warm: false };
    roster.record_ending(&id, ending, Some(report), now);
    assert_eq!(chosen(&mut roster, 1, now), Some(id));
}

#[test]
fn others_work_is_remembered_when_reports_are_old() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 4), now);
    let report = LoadReport { running: 4, waiting: 6, slots: 4 };
    for _ in 0..10 {
        let id = placement_common::name("north-a-0");
        roster.record_ending(
            &id,
            Ending::Answered { after: Duration::from_secs(1), known_warm: false },
            Some(report),
            now,
        );
    }
    let service = name(placement_common::SERVICE);
    let ask = PlacementRequest { remaining_objective: Duration::ZERO, ..ask(&service, 1, &[]) };
    let later = now + Duration::from_millis(900);
    roster.choose(&ask, later).expect_err("nine others are still at work there");
}

#[test]
fn a_backend_server_that_answers_nothing_is_left_out_until_it_does() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let silent = chosen(&mut roster, 1, now).expect("there is room");
    let later = now + Duration::from_secs(2);
    let other = chosen(&mut roster, 1, later).expect("there is room");
    assert_ne!(other, silent);
    answered(&mut roster, &silent, later);
    answered(&mut roster, &other, later);
    assert_eq!(chosen(&mut roster, 1, later), Some(silent));
}

#[test]
fn a_backend_server_that_starts_again_is_another_one() {
    let now = Instant::now();
    let mut known = servers(&[("north-a", 1)], 9);
    let mut roster = roster("one", "north-a", &known, now);
    roster.record_ending("north-a-0", Ending::Failed, None, now);
    assert_eq!(chosen(&mut roster, 1, now), None);
    known.clear();
    known.insert(name("north-a-again"), server("north-a", 9));
    roster.set_servers(&known, now);
    assert_eq!(chosen(&mut roster, 1, now).as_deref(), Some("north-a-again"));
    assert_eq!(roster.server_count(), 1);
}

#[test]
fn a_backend_server_that_reports_no_load_is_shared_with_other_instances() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 6), now);
    let others = [peer("two", "north-a"), peer("three", "north-b")];
    step(&mut roster, &peer("one", "north-a"), &others, now);
    let service = name(placement_common::SERVICE);
    let ask = PlacementRequest {
        remaining_objective: Duration::ZERO,
        min_wait_budget: Duration::ZERO,
        ..ask(&service, 1, &[])
    };
    roster.choose(&ask, now).expect("there is room");
    answered(&mut roster, "north-a-0", now);
    for _ in 0..2 {
        roster.choose(&ask, now).expect("a third of six slots is free");
    }
    roster.choose(&ask, now).expect_err("two others may have sent as much");
}

#[test]
fn a_backend_server_that_often_fails_comes_last() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let first = chosen(&mut roster, 1, now).expect("there is room");
    roster.record_ending(&first, Ending::Erred, None, now);
    assert_eq!(chosen(&mut roster, 1, now).as_ref(), Some(&first), "one failure may be bad luck");
    roster.record_ending(&first, Ending::Erred, None, now);
    let second = chosen(&mut roster, 1, now).expect("there is room");
    assert_ne!(second, first);
    for _ in 0..9 {
        answered(&mut roster, &first, now);
    }
    answered(&mut roster, &second, now);
    assert_eq!(chosen(&mut roster, 1, now), Some(first));
}

#[test]
fn objects_stay_with_those_that_refuse_behind_good_health() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 8)], 5), now);
    let room = LoadReport { running: 1, waiting: 0, slots: 5 };
    let before = chosen(&mut roster, 7, now).expect("there is room");
    answered(&mut roster, &before, now);
    for key in 0..400 {
        let id = chosen(&mut roster, key, now).expect("there is room");
        match key % 2 {
            0 => roster.record_ending(&id, Ending::Shed, Some(room), now),
            _ => answered(&mut roster, &id, now),
        }
    }
    assert_eq!(chosen(&mut roster, 7, now), Some(before));
}

#[test]
fn one_that_refuses_without_room_is_left_alone_for_a_moment() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 5), now);
    let first = chosen(&mut roster, 7, now).expect("there is room");
    let full = LoadReport { running: 5, waiting: 3, slots: 5 };
    roster.record_ending(&first, Ending::Shed, Some(full), now);
    assert_ne!(chosen(&mut roster, 7, now), Some(first));
}
