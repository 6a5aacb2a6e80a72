//! Backend servers that start again under their identity: what was learned before does not hold.

mod placement_common;

use placement_common::{SERVICE, name, placement_request, roster, servers, step};
use std::time::{Duration, Instant};
use steering::deployment::BackendServers;
use steering::placement::load::LoadReport;
use steering::placement::{Choice, Ending, Roster};

const SLOTS: u32 = 4;

fn born(born_ms: u64) -> BackendServers {
    let mut known = servers(&[("north-a", 1)], SLOTS);
    known.values_mut().for_each(|server| server.born_ms = born_ms);
    known
}

fn choose(roster: &mut Roster, now: Instant) -> Option<Choice> {
    roster.choose(&placement_request(&name(SERVICE), 1, &[]), now).ok()
}

#[test]
fn what_was_learned_of_a_start_ends_with_it() {
    let now = Instant::now();
    type Learn = fn(&mut Roster, Instant);
    let cases: [(&str, Learn); 4] = [
        ("a failure", |roster, now| {
            let choice = choose(roster, now).expect("there is room");
            roster.record_ending(&choice.incarnation(), Ending::Failed, None, now);
        }),
        ("its load", |roster, now| {
            let choice = choose(roster, now).expect("there is room");
            let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
            roster.record_ending(&choice.incarnation(), Ending::Shed, Some(full), now);
        }),
        ("requests under way", |roster, now| {
            (0..64).for_each(|_| drop(choose(roster, now)));
        }),
        ("that it was cold", |roster, now| {
            roster.record_health_check("north-a-0", Duration::from_secs(60), now);
        }),
    ];
    for (what, learn) in cases {
        // Arrange.
        let mut roster = roster("one", "north-a", &born(1_000), now);
        learn(&mut roster, now);
        assert_eq!(choose(&mut roster, now), None, "{what} should keep work away");
        // Act: the store tells of the next start.
        roster.set_servers(&born(2_000), now);
        // Assert.
        let choice = choose(&mut roster, now).unwrap_or_else(|| panic!("{what} still counts"));
        assert_eq!((choice.born_ms, choice.load), (2_000, 0.0), "{what}");
    }
}

#[test]
fn no_object_is_warm_at_the_next_start() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &born(1_000), now);
    assert!(!choose(&mut roster, now).expect("there is room").known_warm);
    assert!(choose(&mut roster, now).expect("there is room").known_warm);
    roster.set_servers(&born(2_000), now);
    assert!(!choose(&mut roster, now).expect("there is room").known_warm);
}

#[test]
fn an_exchange_with_an_earlier_start_says_nothing_of_the_next_one() {
    // Arrange: a request is under way when the backend server starts again, and one after it.
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &born(1_000), now);
    let earlier = choose(&mut roster, now).expect("there is room");
    roster.set_servers(&born(2_000), now);
    let later = choose(&mut roster, now).expect("there is room");
    // Act: the connection to the earlier one breaks.
    roster.record_ending(&earlier.incarnation(), Ending::Failed, None, now);
    // Assert: the present one is still used, and its request still counts.
    let next = choose(&mut roster, now).expect("it has not failed");
    assert!((next.load - 1.0).abs() < 1e-9, "{}", next.load);
    roster.record_ending(&later.incarnation(), Ending::Failed, None, now);
    assert_eq!(choose(&mut roster, now), None);
}

#[test]
fn objects_keep_their_place_over_a_start() {
    let now = Instant::now();
    let mut known = servers(&[("north-a", 8)], SLOTS);
    let mut roster = roster("one", "north-a", &known, now);
    step(&mut roster, &placement_common::peer("one", "north-a"), &[], now);
    let place = |roster: &mut Roster, key| {
        let choice = roster
            .choose(&placement_request(&name(SERVICE), key, &[]), now)
            .expect("there is room");
        roster.record_ending(&choice.incarnation(), Ending::Unsent, None, now);
        choice.id
    };
    let before: Vec<_> = (0..50).map(|key| place(&mut roster, key)).collect();
    known.values_mut().for_each(|server| server.born_ms += 1);
    roster.set_servers(&known, now);
    let after: Vec<_> = (0..50).map(|key| place(&mut roster, key)).collect();
    assert_eq!(before, after);
}
