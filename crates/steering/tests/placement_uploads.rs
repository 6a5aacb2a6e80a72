//! Uploads of many objects in a region with few backend servers.
//!
//! **The load.** A small region of three availability zones has 7 backend servers in each for uploads
//! and withdrawals, of 71 and 81 objects; each backend server remembers the last 13 objects.
//!
//! **What was seen.** On a calm day half of these requests were late, with a quarter of the slots
//! needed: answers took 2.5 s at the median of 0.95 s, 6 to 18 requests waited at half of the servers.
//!
//! **Cause.** An upload stayed in the zone of the instance that took it, so each object had a place
//! in each zone beside the one for withdrawals: 11 to 19 objects for each server, more than it keeps,
//! so that none was warm, each answer took three times as long, and queues grew.

mod placement_common;

use placement_common::{SERVICE, name, peer, servers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::RequestKind;
use steering::placement::roster::demand_key;
use steering::placement::{Ask, Ending, Peer, Peers, Roster};

const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];

const OBJECTS: u32 = 152;

/// Objects that a backend server remembers.
const KEPT: usize = 13;

fn rosters(servers_of_zone: usize, now: Instant) -> Vec<Roster> {
    let counts = ZONES.map(|zone| (zone, servers_of_zone));
    let known = servers(&counts, 9);
    let regions: HashMap<Arc<str>, Arc<str>> =
        ZONES.iter().map(|zone| (name(zone), name("north"))).collect();
    let peers: Vec<Peer> = ZONES
        .iter()
        .map(|zone| {
            let mut peer = peer(&format!("of-{zone}"), "north-a");
            peer.availability_zone = name(zone);
            placement_common::with_demand(peer, 20.0, OBJECTS)
        })
        .collect();
    assert_eq!(peers[0].demand[0].0, demand_key(SERVICE));
    peers
        .iter()
        .map(|own| {
            let mut roster = Roster::new(&own.name, own.availability_zone.clone(), regions.clone());
            roster.set_deployment(&placement_common::deployment());
            roster.set_servers(&known, now);
            let mut others = Peers::default();
            for other in peers.iter().filter(|it| it.name != own.name) {
                others.heard(other.clone(), now);
            }
            roster.step(own, &others, now);
            roster
        })
        .collect()
}

/// Part of the uploads that meet a backend server which remembers their object, and part of those
/// that stay in their zone.
fn warm_and_near(servers_of_zone: usize) -> (f64, f64) {
    let start = Instant::now();
    let mut rosters = rosters(servers_of_zone, start);
    let service = name(SERVICE);
    let mut random = SmallRng::seed_from_u64(3);
    let mut remembered: HashMap<Arc<str>, VecDeque<u64>> = HashMap::new();
    let (mut counted, mut warm, mut near) = (0.0, 0.0, 0.0);
    for number in 0..6_000u32 {
        let now = start + Duration::from_millis(5) * number;
        let zone = random.random_range(0..ZONES.len());
        let key_hash = steering::hash::mix(u64::from(random.random_range(0..OBJECTS)));
        let placement_request = Ask {
            kind: RequestKind::Upload,
            ..placement_common::placement_request(&service, key_hash, &[])
        };
        let choice = rosters[zone].choose(&placement_request, now).expect("there is room");
        rosters[zone].record_ending(&choice.incarnation(), Ending::Unsent, None, now);
        let objects = remembered.entry(choice.id.clone()).or_default();
        let was_warm = objects.contains(&key_hash);
        objects.retain(|it| *it != key_hash);
        objects.push_front(key_hash);
        objects.truncate(KEPT);
        if number >= 1_000 {
            counted += 1.0;
            warm += f64::from(u8::from(was_warm));
            near += f64::from(u8::from(*choice.availability_zone == *ZONES[zone]));
        }
    }
    (warm / counted, near / counted)
}

#[test]
fn uploads_of_more_objects_than_a_zone_keeps_warm_share_the_region() {
    let (warm, _) = warm_and_near(7);
    assert!(warm > 0.9, "{warm} of the uploads are warm");
}

#[test]
fn uploads_stay_in_their_zone_where_it_keeps_their_objects_warm() {
    let (warm, near) = warm_and_near(28);
    assert!(warm > 0.9, "{warm} of the uploads are warm");
    assert!(near > 0.99, "{near} of the uploads stay in their zone");
}
