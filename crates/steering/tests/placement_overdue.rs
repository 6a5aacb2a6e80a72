//! Overdue threshold of responses, and its effect on the selection.

mod placement_common;

use placement_common::{SERVICE, name, placement_request, roster, servers};
use std::time::{Duration, Instant};
use steering::placement::{Ending, PlacementRequest, Roster};

/// A roster of two backend servers after 1,000 responses with these times in turn.
fn after_answers(times_ms: &[u64]) -> Roster {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let service = name(SERVICE);
    for time_ms in times_ms.iter().cycle().take(1_000) {
        let choice =
            roster.choose(&placement_request(&service, 1, &[]), now).expect("a slot is free");
        let after = Duration::from_millis(*time_ms);
        roster.record_ending(
            &choice.id,
            Ending::Answered { after, was_object_warm: false },
            None,
            now,
        );
    }
    roster
}

#[test]
fn nothing_is_overdue_before_there_are_answers() {
    let now = Instant::now();
    let roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    assert_eq!(roster.overdue_after(SERVICE, "north-a", false), None);
    assert_eq!(roster.overdue_after("unknown", "north-a", false), None);
}

#[test]
fn an_answer_is_overdue_after_the_tail_of_the_answers_of_its_service() {
    // One of ten responses is cold and takes three times as long.
    let mut times_ms = [200u64; 10];
    times_ms[4] = 600;
    let roster = after_answers(&times_ms);
    let after =
        roster.overdue_after(SERVICE, "north-a", false).expect("there are enough responses");
    assert!((Duration::from_millis(500)..Duration::from_millis(900)).contains(&after), "{after:?}");
    let cold = roster.overdue_after(SERVICE, "north-a", true).expect("there are enough responses");
    assert_eq!(cold, after * 2, "a cold backend server works slower");
}

/// A roster after 1,000 responses of the own region in 200 ms, and `remote_count` of another region
/// in 450 ms.
fn after_remote_answers(remote_count: u64) -> Roster {
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 1), ("south-a", 1)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    for (server, count, time_ms) in [("north-a-0", 1_000, 200), ("south-a-0", remote_count, 450)] {
        for _ in 0..count {
            let after = Duration::from_millis(time_ms);
            roster.record_ending(
                server,
                Ending::Answered { after, was_object_warm: false },
                None,
                now,
            );
        }
    }
    roster
}

// Guards against one threshold for all regions: at the end of the traffic, nearly all hedges were
// for requests that had left the region, as their responses take longer and come from backend
// servers where the object is cold.
#[test]
fn answers_from_other_regions_have_their_own_threshold() {
    let roster = after_remote_answers(100);
    let local =
        roster.overdue_after(SERVICE, "north-a", false).expect("there are enough responses");
    let remote =
        roster.overdue_after(SERVICE, "south-a", false).expect("there are enough responses");
    assert!((Duration::from_millis(200)..Duration::from_millis(400)).contains(&local), "{local:?}");
    assert!(remote > Duration::from_millis(450), "{remote:?}");
}

#[test]
fn with_few_remote_answers_the_cold_threshold_is_used() {
    let roster = after_remote_answers(10);
    let cold = roster.overdue_after(SERVICE, "north-a", true);
    assert_eq!(roster.overdue_after(SERVICE, "south-a", false), cold);
}

#[test]
fn fast_answers_are_not_overdue_within_a_round_trip() {
    let roster = after_answers(&[2]);
    let after =
        roster.overdue_after(SERVICE, "north-a", false).expect("there are enough responses");
    assert_eq!(after, Duration::from_millis(110));
}

#[test]
fn overdue_answers_raise_the_threshold() {
    let mut roster = after_answers(&[200]);
    let before =
        roster.overdue_after(SERVICE, "north-a", false).expect("there are enough responses");
    for _ in 0..10 {
        roster.record_overdue(SERVICE, "north-a");
    }
    let after =
        roster.overdue_after(SERVICE, "north-a", false).expect("there are enough responses");
    assert!(after > before.mul_f64(1.3), "{before:?} {after:?}");
}

#[test]
fn a_backend_server_whose_answer_is_overdue_keeps_its_objects() {
    let now = Instant::now();
    let service = name(SERVICE);
    let mut roster = after_answers(&[200]);
    let first =
        roster.choose(&placement_request(&service, 1, &[]), now).expect("a slot is free").id;
    for _ in 0..5 {
        roster.record_overdue(SERVICE, "north-a");
    }
    assert_eq!(
        roster.choose(&placement_request(&service, 1, &[]), now).expect("a slot is free").id,
        first
    );
}

#[test]
fn a_hedge_goes_only_to_home_backend_servers_with_low_utilization() {
    let now = Instant::now();
    let service = name(SERVICE);
    let backend_servers = servers(&[("north-a", 2), ("south-a", 2)], 10);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let first =
        roster.choose(&placement_request(&service, 1, &[]), now).expect("a slot is free").id;
    let excluded = [first];
    let hedge = PlacementRequest { is_hedge: true, ..placement_request(&service, 1, &excluded) };
    for _ in 0..6 {
        let choice = roster.choose(&hedge, now).expect("the utilization is low");
        assert!(choice.id.starts_with("north"), "{}", choice.id);
    }
    roster.choose(&hedge, now).expect_err("six of ten slots are busy");
    roster
        .choose(&placement_request(&service, 1, &excluded), now)
        .expect("a first request has a higher bound");
}
