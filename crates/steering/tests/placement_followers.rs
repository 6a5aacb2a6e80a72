//! Which instances follow the store, so that its calls do not grow with the fleet.
//!
//! **The load.** 295 instances start together, at first or after all lost power, and know of nobody.
//! With each of them reading four subjects and the registrations whole, registering, and waiting for
//! changes until it heard of others, a start took 13 calls of each, 3,800 of the 3,942 of a calm day.

mod placement_common;

use placement_common::peer;
use std::time::Instant;
use steering::placement::peers::LOST_AFTER;
use steering::placement::{Peer, Peers};

const OF_REGION: usize = 100;

fn instances() -> Vec<Peer> {
    (0..OF_REGION).map(|number| peer(&format!("entry-north-a-{number}"), "north-a")).collect()
}

/// Instances that follow the store just after their start; `registered` are those in the store.
fn first_watchers(registered: &[Peer], now: Instant) -> usize {
    let knows_nobody = Peers::default();
    let names = || registered.iter().map(|it| &*it.name);
    instances().iter().filter(|own| knows_nobody.is_first_watcher(own, names(), now)).count()
}

#[test]
fn of_a_region_that_starts_anew_few_follow_the_store() {
    let now = Instant::now();
    assert_eq!(first_watchers(&instances(), now), 6);
}

#[test]
fn of_a_region_that_starts_for_the_first_time_nobody_follows_the_store_until_it_is_known_who_lives()
{
    let now = Instant::now();
    assert_eq!(first_watchers(&[], now), 0);
    // A few have registered by the time at which the others read who has.
    let all = instances();
    let early: Vec<Peer> = all[..9].to_vec();
    let names = || early.iter().map(|it| &*it.name);
    let knows_nobody = Peers::default();
    let late = all[9..].iter().filter(|own| knows_nobody.is_first_watcher(own, names(), now));
    assert_eq!(late.count(), 0);
    let heard = |own: &Peer| {
        let mut peers = Peers::default();
        for other in all.iter().filter(|other| other.name != own.name) {
            peers.record(other.clone(), now);
        }
        peers
    };
    assert_eq!(all.iter().filter(|own| heard(own).is_watcher(own, now)).count(), 2);
}

#[test]
fn an_instance_that_hears_of_nobody_follows_the_store_itself() {
    let now = Instant::now() + LOST_AFTER;
    assert!(Peers::default().is_watcher(&peer("one", "north-a"), now));
}

#[test]
fn one_that_is_new_among_others_does_not_follow_the_store_at_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    let all = instances();
    for other in &all {
        peers.record(other.clone(), now);
    }
    let registered = || all.iter().map(|it| &*it.name);
    let new = |number| peer(&format!("entry-new-{number}"), "north-a");
    let followers = (0..100).map(new).filter(|own| peers.is_first_watcher(own, registered(), now));
    assert_eq!(followers.count(), 0);
}
