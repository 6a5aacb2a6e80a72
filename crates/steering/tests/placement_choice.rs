//! Selection of the backend server for a request.

mod placement_common;

use placement_common::{name, peer, placement_request, roster, server, servers, step, with_demand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{AllowedRegions, Evacuations, RequestKind};
use steering::placement::load::LoadReport;
use steering::placement::{Ending, PlacementRequest, Roster};

const ALL_ZONES: [(&str, usize); 4] =
    [("north-a", 4), ("north-b", 4), ("south-a", 4), ("south-b", 4)];

fn choose_id(roster: &mut Roster, key: u64, now: Instant) -> Option<Arc<str>> {
    let service = name(placement_common::SERVICE);
    roster.choose(&placement_request(&service, key, &[]), now).ok().map(|choice| choice.id)
}

fn record_response(roster: &mut Roster, id: &str, now: Instant) {
    let after = Duration::from_millis(200);
    roster.record_ending(id, Ending::Answered { after, was_object_warm: false }, None, now);
}

#[test]
fn all_instances_of_a_region_send_an_object_to_the_same_backend_server() {
    let now = Instant::now();
    let backend_servers = servers(&ALL_ZONES, 9);
    let mut first = roster("one", "north-a", &backend_servers, now);
    let mut second = roster("two", "north-b", &backend_servers, now);
    for key in 0..200 {
        let choice = choose_id(&mut first, key, now);
        assert_eq!(choice, choose_id(&mut second, key, now));
        let id = choice.expect("a slot is free");
        record_response(&mut first, &id, now);
        record_response(&mut second, &id, now);
    }
}

#[test]
fn removing_a_backend_server_moves_only_its_own_objects() {
    let now = Instant::now();
    let mut backend_servers = servers(&ALL_ZONES, 9);
    let mut before = roster("one", "north-a", &backend_servers, now);
    let homes: Vec<_> = (0..200)
        .map(|key| {
            let id = choose_id(&mut before, key, now).expect("a slot is free");
            record_response(&mut before, &id, now);
            id
        })
        .collect();
    let removed = homes[0].clone();
    backend_servers.remove(&removed);
    let mut after = roster("one", "north-a", &backend_servers, now);
    for (key, home) in homes.iter().enumerate().filter(|(_, home)| **home != removed) {
        let id = choose_id(&mut after, key as u64, now).expect("a slot is free");
        record_response(&mut after, &id, now);
        assert_eq!(id, *home);
    }
}

/// Selects a backend server 40 times for one object; returns how often each was selected.
fn count_selections(roster: &mut Roster, now: Instant) -> BTreeMap<Arc<str>, u32> {
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..40 {
        if let Some(id) = choose_id(roster, 7, now) {
            *counts.entry(id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn an_object_stays_on_one_backend_server_under_load() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 3), now);
    let own = with_demand(peer("one", "north-a"), 40.0, 96);
    let other = with_demand(peer("two", "south-a"), 40.0, 96);
    step(&mut roster, &own, &[other], now);
    // Spilling is limited, and no requests have earned tokens for it.
    let counts = count_selections(&mut roster, now);
    assert_eq!(counts.len(), 1, "{counts:?}");
    assert!(counts.keys().all(|id| id.starts_with("north")), "{counts:?}");
}

#[test]
fn few_objects_are_spread_over_all_backend_servers() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 3), now);
    // Eight objects on 16 backend servers: one replica each would leave half of them idle.
    let own = with_demand(peer("one", "north-a"), 40.0, 4);
    let other = with_demand(peer("two", "south-a"), 40.0, 4);
    step(&mut roster, &own, &[other], now);
    let counts = count_selections(&mut roster, now);
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.keys().all(|id| id.starts_with("north")), "{counts:?}");
}

#[test]
fn objects_do_not_spread_before_their_number_is_known() {
    let now = Instant::now();
    let service = name(placement_common::SERVICE);
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 3), now);
    // Three requests for three objects: there may be many more objects.
    for key in 0..3 {
        roster.record_request(&service, RequestKind::Idempotent, key, &AllowedRegions::Any, now);
    }
    let mut own = peer("one", "north-a");
    own.demand = roster.demand();
    let other = with_demand(peer("two", "south-a"), 40.0, 96);
    step(&mut roster, &own, &[other], now);
    let counts = count_selections(&mut roster, now);
    assert_eq!(counts.len(), 1, "{counts:?}");
}

#[test]
fn few_requests_spill_to_another_region_without_a_free_slot() {
    let now = Instant::now();
    let service = name(placement_common::SERVICE);
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 1), now);
    let mut remote_count = 0;
    for key in 0..400 {
        roster.record_request(&service, RequestKind::Idempotent, key, &AllowedRegions::Any, now);
        if let Some(id) = choose_id(&mut roster, key, now) {
            remote_count += u32::from(id.starts_with("south"));
        }
    }
    assert!((1..=16).contains(&remote_count), "{remote_count} of 400 went to the other region");
}

#[test]
fn requests_leave_a_region_with_failed_backend_servers_at_once() {
    let now = Instant::now();
    let backend_servers = servers(&ALL_ZONES, 9);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    for id in backend_servers.keys().filter(|id| id.starts_with("north")) {
        roster.record_ending(id, Ending::Failed, None, now);
    }
    let remote_count = (0..50)
        .filter_map(|key| choose_id(&mut roster, key, now))
        .filter(|id| id.starts_with("south"))
        .count();
    assert_eq!(remote_count, 50);
}

#[test]
fn draining_evacuated_and_excluded_backend_servers_get_no_requests() {
    let now = Instant::now();
    let mut backend_servers = servers(&[("north-a", 2), ("north-b", 2)], 9);
    for (id, record) in &mut backend_servers {
        record.draining = **id == *"north-a-0";
    }
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let zones: Evacuations = [name("north-b")].into();
    roster.set_evacuations(&zones, now);
    let service = name(placement_common::SERVICE);
    let excluded = [name("north-a-1")];
    for key in 0..50 {
        assert_eq!(choose_id(&mut roster, key, now).as_deref(), Some("north-a-1"));
        record_response(&mut roster, "north-a-1", now);
        let refusal = roster
            .choose(&placement_request(&service, key, &excluded), now)
            .expect_err("no backend server is left");
        assert_eq!(refusal.usable, 0);
    }
}

#[test]
fn a_region_that_is_not_allowed_gets_no_requests() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 9), now);
    let service = name(placement_common::SERVICE);
    let allowed = AllowedRegions::from_list([name("south")]);
    for key in 0..50 {
        let placement_request =
            PlacementRequest { allowed_regions: &allowed, ..placement_request(&service, key, &[]) };
        let choice = roster.choose(&placement_request, now).expect("a slot is free");
        assert!(choice.id.starts_with("south"), "{}", choice.id);
        record_response(&mut roster, &choice.id, now);
    }
}

#[test]
fn an_upload_stays_in_its_zone_while_a_slot_is_free() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&ALL_ZONES, 9), now);
    let service = name(placement_common::SERVICE);
    for key in 0..50 {
        let placement_request =
            PlacementRequest { kind: RequestKind::Upload, ..placement_request(&service, key, &[]) };
        let choice = roster.choose(&placement_request, now).expect("a slot is free");
        assert_eq!(&*choice.availability_zone, "north-a");
        record_response(&mut roster, &choice.id, now);
    }
}

#[test]
fn a_request_waits_for_a_full_backend_server_only_if_it_has_time() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 2), now);
    let service = name(placement_common::SERVICE);
    let with_patience = |least_ms| PlacementRequest {
        min_wait_budget: Duration::from_millis(least_ms),
        remaining_objective: Duration::ZERO,
        ..placement_request(&service, 1, &[])
    };
    for _ in 0..2 {
        roster.choose(&with_patience(0), now).expect("a slot is free");
    }
    // Another request waits for half of the mean response time of 300 ms.
    let refusal = roster.choose(&with_patience(149), now).expect_err("the wait is too long");
    assert!(refusal.retry_after >= Duration::from_millis(150), "{refusal:?}");
    roster.choose(&with_patience(151), now).expect("the wait is short enough");
}

#[test]
fn a_report_counts_the_request_that_it_came_with() {
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 1)], 1);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let id = choose_id(&mut roster, 1, now).expect("a slot is free");
    let report = LoadReport { running: 1, waiting: 0, slots: 1 };
    let ending = Ending::Answered { after: Duration::from_millis(200), was_object_warm: false };
    roster.record_ending(&id, ending, Some(report), now);
    assert_eq!(choose_id(&mut roster, 1, now), Some(id));
}

#[test]
fn requests_of_others_still_count_when_reports_are_old() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 4), now);
    let report = LoadReport { running: 4, waiting: 6, slots: 4 };
    for _ in 0..10 {
        let id = placement_common::name("north-a-0");
        roster.record_ending(
            &id,
            Ending::Answered { after: Duration::from_secs(1), was_object_warm: false },
            Some(report),
            now,
        );
    }
    let service = name(placement_common::SERVICE);
    let placement_request = PlacementRequest {
        remaining_objective: Duration::ZERO,
        ..placement_request(&service, 1, &[])
    };
    let later = now + Duration::from_millis(900);
    roster
        .choose(&placement_request, later)
        .expect_err("nine requests of others are still running there");
}

#[test]
fn a_silent_backend_server_gets_no_requests_until_it_answers() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let silent_id = choose_id(&mut roster, 1, now).expect("a slot is free");
    let later = now + Duration::from_secs(2);
    let other = choose_id(&mut roster, 1, later).expect("a slot is free");
    assert_ne!(other, silent_id);
    record_response(&mut roster, &silent_id, later);
    record_response(&mut roster, &other, later);
    assert_eq!(choose_id(&mut roster, 1, later), Some(silent_id));
}

#[test]
fn a_restarted_backend_server_is_a_new_one() {
    let now = Instant::now();
    let mut backend_servers = servers(&[("north-a", 1)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    roster.record_ending("north-a-0", Ending::Failed, None, now);
    assert_eq!(choose_id(&mut roster, 1, now), None);
    backend_servers.clear();
    backend_servers.insert(name("north-a-again"), server("north-a", 9));
    roster.set_servers(&backend_servers, now);
    assert_eq!(choose_id(&mut roster, 1, now).as_deref(), Some("north-a-again"));
    assert_eq!(roster.server_count(), 1);
}

#[test]
fn a_backend_server_without_load_reports_is_shared_with_other_instances() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 6), now);
    let others = [peer("two", "north-a"), peer("three", "north-b")];
    step(&mut roster, &peer("one", "north-a"), &others, now);
    let service = name(placement_common::SERVICE);
    let placement_request = PlacementRequest {
        remaining_objective: Duration::ZERO,
        min_wait_budget: Duration::ZERO,
        ..placement_request(&service, 1, &[])
    };
    roster.choose(&placement_request, now).expect("a slot is free");
    record_response(&mut roster, "north-a-0", now);
    for _ in 0..2 {
        roster.choose(&placement_request, now).expect("a third of six slots is free");
    }
    roster.choose(&placement_request, now).expect_err("two others may have sent as much");
}

#[test]
fn a_backend_server_that_often_fails_comes_last() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let first = choose_id(&mut roster, 1, now).expect("a slot is free");
    roster.record_ending(&first, Ending::Erred, None, now);
    assert_eq!(choose_id(&mut roster, 1, now).as_ref(), Some(&first), "one failure may be chance");
    roster.record_ending(&first, Ending::Erred, None, now);
    let second = choose_id(&mut roster, 1, now).expect("a slot is free");
    assert_ne!(second, first);
    for _ in 0..9 {
        record_response(&mut roster, &first, now);
    }
    record_response(&mut roster, &second, now);
    assert_eq!(choose_id(&mut roster, 1, now), Some(first));
}

#[test]
fn objects_stay_on_a_backend_server_that_refuses_despite_free_slots() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 8)], 5), now);
    let free_slots = LoadReport { running: 1, waiting: 0, slots: 5 };
    let before = choose_id(&mut roster, 7, now).expect("a slot is free");
    record_response(&mut roster, &before, now);
    for key in 0..400 {
        let id = choose_id(&mut roster, key, now).expect("a slot is free");
        match key % 2 {
            0 => roster.record_ending(&id, Ending::Shed, Some(free_slots), now),
            _ => record_response(&mut roster, &id, now),
        }
    }
    assert_eq!(choose_id(&mut roster, 7, now), Some(before));
}

#[test]
fn a_backend_server_that_refuses_for_lack_of_slots_is_paused() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 5), now);
    let first = choose_id(&mut roster, 7, now).expect("a slot is free");
    let full = LoadReport { running: 5, waiting: 3, slots: 5 };
    roster.record_ending(&first, Ending::Shed, Some(full), now);
    assert_ne!(choose_id(&mut roster, 7, now), Some(first));
}
