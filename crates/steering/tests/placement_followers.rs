//! Which instances watch the store, so that its calls do not grow with the fleet.
//!
//! Guards against a start of 295 instances in which each one watches the store until it knows
//! others: reading four subjects and the registrations, registering and waiting for changes took 13
//! calls of each, 3,800 of the 3,942 calls of a calm day.

mod placement_common;

use placement_common::peer;
use std::time::Instant;
use steering::placement::peers::LOST_AFTER;
use steering::placement::{Peer, Peers};

const INSTANCES_PER_REGION: usize = 100;

fn instances() -> Vec<Peer> {
    (0..INSTANCES_PER_REGION)
        .map(|number| peer(&format!("entry-north-a-{number}"), "north-a"))
        .collect()
}

/// Instances that watch the store just after their start; `registered` are those in the store.
fn first_watchers(registered: &[Peer], now: Instant) -> usize {
    let no_peers = Peers::default();
    let names = || registered.iter().map(|peer| &*peer.name);
    instances().iter().filter(|own| no_peers.is_first_watcher(own, names(), now)).count()
}

#[test]
fn few_instances_of_a_restarted_region_watch_the_store() {
    let now = Instant::now();
    assert_eq!(first_watchers(&instances(), now), 6);
}

#[test]
fn in_a_first_start_no_instance_watches_the_store_until_the_living_ones_are_known() {
    let now = Instant::now();
    assert_eq!(first_watchers(&[], now), 0);
    // A few instances have registered by the time at which the others read the registrations.
    let all = instances();
    let early: Vec<Peer> = all[..9].to_vec();
    let names = || early.iter().map(|peer| &*peer.name);
    let no_peers = Peers::default();
    let late = all[9..].iter().filter(|own| no_peers.is_first_watcher(own, names(), now));
    assert_eq!(late.count(), 0);
    let with_peers = |own: &Peer| {
        let mut peers = Peers::default();
        for other in all.iter().filter(|other| other.name != own.name) {
            peers.record(other.clone(), now);
        }
        peers
    };
    assert_eq!(all.iter().filter(|own| with_peers(own).is_watcher(own, now)).count(), 2);
}

#[test]
fn an_instance_without_peers_watches_the_store_itself() {
    let now = Instant::now() + LOST_AFTER;
    assert!(Peers::default().is_watcher(&peer("one", "north-a"), now));
}

#[test]
fn a_new_instance_among_others_does_not_watch_the_store_at_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    let all = instances();
    for other in &all {
        peers.record(other.clone(), now);
    }
    let registered = || all.iter().map(|peer| &*peer.name);
    let new = |number| peer(&format!("entry-new-{number}"), "north-a");
    let watchers = (0..100).map(new).filter(|own| peers.is_first_watcher(own, registered(), now));
    assert_eq!(watchers.count(), 0);
}
