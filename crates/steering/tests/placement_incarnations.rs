//! Backend servers that restart under the same identity: state learned about an earlier incarnation
//! does not apply to the next one.

mod placement_common;

use placement_common::{SERVICE, name, placement_request, roster, servers, step};
use std::time::{Duration, Instant};
use steering::deployment::BackendServers;
use steering::placement::load::LoadReport;
use steering::placement::{Choice, Ending, Roster};

const SLOTS: u32 = 4;

fn servers_started_at(started_ms: u64) -> BackendServers {
    let mut backend_servers = servers(&[("north-a", 1)], SLOTS);
    backend_servers.values_mut().for_each(|server| server.started_ms = started_ms);
    backend_servers
}

fn choose(roster: &mut Roster, now: Instant) -> Option<Choice> {
    roster.choose(&placement_request(&name(SERVICE), 1, &[]), now).ok()
}

#[test]
fn what_was_learned_of_an_incarnation_ends_with_it() {
    let now = Instant::now();
    type Learn = fn(&mut Roster, Instant);
    let cases: [(&str, Learn); 4] = [
        ("a failure", |roster, now| {
            let choice = choose(roster, now).expect("a backend server has a free slot");
            roster.record_ending(&choice.incarnation(), Ending::Failed, None, now);
        }),
        ("its load", |roster, now| {
            let choice = choose(roster, now).expect("a backend server has a free slot");
            let full = LoadReport { running: SLOTS, waiting: 40 * SLOTS, slots: SLOTS };
            roster.record_ending(&choice.incarnation(), Ending::Shed, Some(full), now);
        }),
        ("running requests", |roster, now| {
            (0..64).for_each(|_| drop(choose(roster, now)));
        }),
        ("that it was cold", |roster, now| {
            roster.record_health_check("north-a-0", Duration::from_secs(60), now);
        }),
    ];
    for (what, learn) in cases {
        // Arrange.
        let mut roster = roster("one", "north-a", &servers_started_at(1_000), now);
        learn(&mut roster, now);
        assert_eq!(choose(&mut roster, now), None, "{what} should keep requests away");
        // Act: the store lists the next incarnation.
        roster.set_servers(&servers_started_at(2_000), now);
        // Assert.
        let choice = choose(&mut roster, now).unwrap_or_else(|| panic!("{what} still counts"));
        assert_eq!((choice.started_ms, choice.load), (2_000, 0.0), "{what}");
    }
}

#[test]
fn no_object_is_warm_in_the_next_incarnation() {
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers_started_at(1_000), now);
    assert!(!choose(&mut roster, now).expect("a backend server has a free slot").was_object_warm);
    assert!(choose(&mut roster, now).expect("a backend server has a free slot").was_object_warm);
    roster.set_servers(&servers_started_at(2_000), now);
    assert!(!choose(&mut roster, now).expect("a backend server has a free slot").was_object_warm);
}

#[test]
fn an_exchange_with_an_earlier_incarnation_does_not_affect_the_next_one() {
    // Arrange: a request is running when the backend server restarts, and another one starts after
    // it.
    let now = Instant::now();
    let mut roster = roster("one", "north-a", &servers_started_at(1_000), now);
    let earlier = choose(&mut roster, now).expect("a backend server has a free slot");
    roster.set_servers(&servers_started_at(2_000), now);
    let later = choose(&mut roster, now).expect("a backend server has a free slot");
    // Act: the connection to the earlier incarnation breaks.
    roster.record_ending(&earlier.incarnation(), Ending::Failed, None, now);
    // Assert: the present incarnation is still used, and its request still counts.
    let next = choose(&mut roster, now).expect("it has not failed");
    assert!((next.load - 1.0).abs() < 1e-9, "{}", next.load);
    roster.record_ending(&later.incarnation(), Ending::Failed, None, now);
    assert_eq!(choose(&mut roster, now), None);
}

#[test]
fn objects_keep_their_backend_server_over_a_restart() {
    let now = Instant::now();
    let mut backend_servers = servers(&[("north-a", 8)], SLOTS);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    step(&mut roster, &placement_common::peer("one", "north-a"), &[], now);
    let place = |roster: &mut Roster, key| {
        let choice = roster
            .choose(&placement_request(&name(SERVICE), key, &[]), now)
            .expect("a backend server has a free slot");
        roster.record_ending(&choice.incarnation(), Ending::Unsent, None, now);
        choice.id
    };
    let before: Vec<_> = (0..50).map(|key| place(&mut roster, key)).collect();
    backend_servers.values_mut().for_each(|server| server.started_ms += 1);
    roster.set_servers(&backend_servers, now);
    let after: Vec<_> = (0..50).map(|key| place(&mut roster, key)).collect();
    assert_eq!(before, after);
}
