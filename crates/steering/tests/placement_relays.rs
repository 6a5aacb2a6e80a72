//! Which instance passes requests on to another availability zone.

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

fn chosen(peers: &Peers, own: &str, now: Instant) -> Option<Incarnation> {
    peers.relay_to(own, "south-a", now, |_| true).map(|(start, _)| start)
}

#[test]
fn instances_share_those_that_pass_on() {
    let now = Instant::now();
    let peers = south(10, now);
    let of = |number: usize| chosen(&peers, &format!("north-{number}"), now).expect("one serves");
    let used: BTreeSet<_> = (0..100).map(|number| of(number).id).collect();
    assert_eq!(used.len(), 10);
    assert!(used.iter().all(|name| name.starts_with("south-")));
}

#[test]
fn one_instance_keeps_to_the_same_until_it_leaves() {
    let now = Instant::now();
    let mut peers = south(10, now);
    let first = chosen(&peers, "north", now).expect("one serves");
    peers.record(peer("south-more", "south-b"), now);
    assert_eq!(chosen(&peers, "north", now).as_ref(), Some(&first));
    let mut leaving = peer(&first.id, "south-a");
    leaving.heartbeat += 1;
    leaving.state = PeerState::Leaving;
    peers.record(leaving, now);
    assert!(chosen(&peers, "north", now).is_some_and(|it| it != first));
}

#[test]
fn one_that_failed_is_left_out_and_none_is_better_than_it() {
    let now = Instant::now();
    let peers = south(1, now);
    let first = chosen(&peers, "north", now).expect("one serves");
    assert!(peers.relay_to("north", "south-a", now, |it| *it != first).is_none());
    assert!(peers.relay_to("north", "south-c", now, |_| true).is_none());
}
