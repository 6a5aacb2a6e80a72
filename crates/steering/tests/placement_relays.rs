//! Which instance relays requests to another availability zone.

mod placement_common;

use placement_common::peer;
use std::collections::BTreeSet;
use std::time::Instant;
use steering::placement::{Incarnation, PeerState, Peers};

/// Instances of `south-a`, and one of another zone.
fn south(count: usize, now: Instant) -> Peers {
    let mut peers = Peers::default();
    for number in 0..count {
        peers.record(peer(&format!("south-{number}"), "south-a"), now);
    }
    peers.record(peer("elsewhere", "south-b"), now);
    peers
}

fn relay(peers: &Peers, own: &str, now: Instant) -> Option<Incarnation> {
    peers.relay_to(own, "south-a", now, |_| true).map(|(incarnation, _)| incarnation)
}

#[test]
fn different_instances_use_different_relays() {
    let now = Instant::now();
    let peers = south(10, now);
    let relay_of =
        |number: usize| relay(&peers, &format!("north-{number}"), now).expect("one serves");
    let used: BTreeSet<_> = (0..100).map(|number| relay_of(number).id).collect();
    assert_eq!(used.len(), 10);
    assert!(used.iter().all(|name| name.starts_with("south-")));
}

#[test]
fn an_instance_keeps_its_relay_until_the_relay_leaves() {
    let now = Instant::now();
    let mut peers = south(10, now);
    let first = relay(&peers, "north", now).expect("one serves");
    peers.record(peer("south-more", "south-b"), now);
    assert_eq!(relay(&peers, "north", now).as_ref(), Some(&first));
    let mut leaving = peer(&first.id, "south-a");
    leaving.heartbeat += 1;
    leaving.state = PeerState::Leaving;
    peers.record(leaving, now);
    assert!(relay(&peers, "north", now).is_some_and(|relay| relay != first));
}

#[test]
fn a_failed_relay_is_excluded_even_when_no_other_is_left() {
    let now = Instant::now();
    let peers = south(1, now);
    let first = relay(&peers, "north", now).expect("one serves");
    assert!(peers.relay_to("north", "south-a", now, |start| *start != first).is_none());
    assert!(peers.relay_to("north", "south-c", now, |_| true).is_none());
}
