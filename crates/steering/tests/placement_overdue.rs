//! When an answer is overdue, and what follows from it.

mod placement_common;

use placement_common::{SERVICE, name, placement_request, roster, servers};
use std::time::{Duration, Instant};
use steering::placement::{Ask, Ending, Roster};

/// A roster of two backend servers that has seen answers after these times, many of each.
fn after_answers(times_ms: &[u64]) -> Roster {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    let service = name(SERVICE);
    for time_ms in times_ms.iter().cycle().take(1_000) {
        let choice =
            roster.choose(&placement_request(&service, 1, &[]), now).expect("there is room");
        let after = Duration::from_millis(*time_ms);
        roster.record_ending(&choice.id, Ending::Answered { after, known_warm: false }, None, now);
    }
    roster
}

#[test]
fn nothing_is_overdue_before_the_times_of_answers_are_known() {
    let now = Instant::now();
    let roster = roster("one", "north-a", &servers(&[("north-a", 2)], 9), now);
    assert_eq!(roster.overdue_after(SERVICE, "north-a", false), None);
    assert_eq!(roster.overdue_after("unknown", "north-a", false), None);
}

#[test]
fn an_answer_is_overdue_after_the_tail_of_the_answers_of_its_service() {
    // One of ten answers is cold and takes three times as long.
    let mut times_ms = [200u64; 10];
    times_ms[4] = 600;
    let roster = after_answers(&times_ms);
    let after = roster.overdue_after(SERVICE, "north-a", false).expect("many answers came");
    assert!((Duration::from_millis(500)..Duration::from_millis(900)).contains(&after), "{after:?}");
    let cold = roster.overdue_after(SERVICE, "north-a", true).expect("many answers came");
    assert_eq!(cold, after * 2, "a cold backend server works slower");
}

/// A roster that has seen many answers of the own region after 200 ms, and `away` ones of another after 450.
fn after_answers_from_away(away: u64) -> Roster {
    let now = Instant::now();
    let known = servers(&[("north-a", 1), ("south-a", 1)], 9);
    let mut roster = roster("one", "north-a", &known, now);
    for (server, count, time_ms) in [("north-a-0", 1_000, 200), ("south-a-0", away, 450)] {
        for _ in 0..count {
            let after = Duration::from_millis(time_ms);
            roster.record_ending(server, Ending::Answered { after, known_warm: false }, None, now);
        }
    }
    roster
}

// Guards against SHIFT at the end of traffic: nearly all second offers were of requests that had left, whose answers
// have a longer way and come from backend servers where the object is cold.
#[test]
fn shift_by_second_offers_of_what_left() {
    let roster = after_answers_from_away(100);
    let near = roster.overdue_after(SERVICE, "north-a", false).expect("many answers came");
    let away = roster.overdue_after(SERVICE, "south-a", false).expect("many answers came");
    assert!((Duration::from_millis(200)..Duration::from_millis(400)).contains(&near), "{near:?}");
    assert!(away > Duration::from_millis(450), "{away:?}");
}

#[test]
fn few_answers_from_away_are_taken_for_those_of_cold_backend_servers() {
    let roster = after_answers_from_away(10);
    let cold = roster.overdue_after(SERVICE, "north-a", true);
    assert_eq!(roster.overdue_after(SERVICE, "south-a", false), cold);
}

#[test]
fn quick_answers_are_not_overdue_within_a_round_trip() {
    let roster = after_answers(&[2]);
    let after = roster.overdue_after(SERVICE, "north-a", false).expect("many answers came");
    assert_eq!(after, Duration::from_millis(110));
}

#[test]
fn overdue_answers_that_never_come_lengthen_the_wait() {
    let mut roster = after_answers(&[200]);
    let before = roster.overdue_after(SERVICE, "north-a", false).expect("many answers came");
    for _ in 0..10 {
        roster.record_overdue(SERVICE, "north-a");
    }
    let after = roster.overdue_after(SERVICE, "north-a", false).expect("many answers came");
    assert!(after > before.mul_f64(1.3), "{before:?} {after:?}");
}

#[test]
fn a_backend_server_whose_answer_is_overdue_keeps_its_objects() {
    let now = Instant::now();
    let service = name(SERVICE);
    let mut roster = after_answers(&[200]);
    let first = roster.choose(&placement_request(&service, 1, &[]), now).expect("there is room").id;
    for _ in 0..5 {
        roster.record_overdue(SERVICE, "north-a");
    }
    assert_eq!(
        roster.choose(&placement_request(&service, 1, &[]), now).expect("there is room").id,
        first
    );
}

#[test]
fn a_second_offer_goes_only_where_there_is_much_room_and_it_belongs() {
    let now = Instant::now();
    let service = name(SERVICE);
    let known = servers(&[("north-a", 2), ("south-a", 2)], 10);
    let mut roster = roster("one", "north-a", &known, now);
    let first = roster.choose(&placement_request(&service, 1, &[]), now).expect("there is room").id;
    let excluded = [first];
    let second = Ask { is_second: true, ..placement_request(&service, 1, &excluded) };
    for _ in 0..6 {
        let choice = roster.choose(&second, now).expect("there is much room");
        assert!(choice.id.starts_with("north"), "{}", choice.id);
    }
    roster.choose(&second, now).expect_err("six of ten slots are taken");
    roster
        .choose(&placement_request(&service, 1, &excluded), now)
        .expect("a first offer waits for less");
}
