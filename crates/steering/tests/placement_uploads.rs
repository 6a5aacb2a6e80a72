//! Uploads of many objects in a region with few backend servers.
//!
//! Guards against cold uploads. A region of three availability zones has 7 backend servers in each,
//! for uploads and withdrawals of 71 and 81 objects, and each backend server has its last 13
//! objects warm. When an upload stayed in the zone of its instance, each object had a place in
//! every zone besides the one for withdrawals: 11 to 19 objects per backend server, more than it
//! has warm. Each response then took three times as long and queues grew: with only a quarter of
//! the slots needed, half of the requests were late, responses had a median of 2.5 s where 0.95 s
//! is expected, and 6 to 18 requests waited at half of the backend servers.

mod placement_common;

use placement_common::{SERVICE, name, peer, servers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::RequestKind;
use steering::placement::roster::demand_key;
use steering::placement::{Ending, Peer, Peers, PlacementRequest, Roster};

const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];

const OBJECTS: u32 = 152;

/// Objects that a backend server has warm.
const WARM_OBJECTS: usize = 13;

fn rosters(servers_of_zone: usize, now: Instant) -> Vec<Roster> {
    let counts = ZONES.map(|zone| (zone, servers_of_zone));
    let backend_servers = servers(&counts, 9);
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
            roster.set_servers(&backend_servers, now);
            let mut others = Peers::default();
            for other in peers.iter().filter(|peer| peer.name != own.name) {
                others.record(other.clone(), now);
            }
            roster.update_shares(own, &others, now);
            roster
        })
        .collect()
}

/// Returns the fraction of uploads that meet a backend server with their object warm, and the
/// fraction that stays in its zone.
fn warm_and_local(servers_of_zone: usize) -> (f64, f64) {
    let start = Instant::now();
    let mut rosters = rosters(servers_of_zone, start);
    let service = name(SERVICE);
    let mut random = SmallRng::seed_from_u64(3);
    let mut warm_objects: HashMap<Arc<str>, VecDeque<u64>> = HashMap::new();
    let (mut counted, mut warm, mut local) = (0.0, 0.0, 0.0);
    for number in 0..6_000u32 {
        let now = start + Duration::from_millis(5) * number;
        let zone = random.random_range(0..ZONES.len());
        let key_hash = steering::hash::mix(u64::from(random.random_range(0..OBJECTS)));
        let placement_request = PlacementRequest {
            kind: RequestKind::Upload,
            ..placement_common::placement_request(&service, key_hash, &[])
        };
        let choice = rosters[zone].choose(&placement_request, now).expect("a slot is free");
        rosters[zone].record_ending(&choice.incarnation(), Ending::Unsent, None, now);
        let objects = warm_objects.entry(choice.id.clone()).or_default();
        let was_warm = objects.contains(&key_hash);
        objects.retain(|object| *object != key_hash);
        objects.push_front(key_hash);
        objects.truncate(WARM_OBJECTS);
        if number >= 1_000 {
            counted += 1.0;
            warm += f64::from(u8::from(was_warm));
            local += f64::from(u8::from(*choice.availability_zone == *ZONES[zone]));
        }
    }
    (warm / counted, local / counted)
}

#[test]
fn uploads_use_the_whole_region_if_a_zone_can_not_keep_their_objects_warm() {
    let (warm, _) = warm_and_local(7);
    assert!(warm > 0.9, "{warm} of the uploads are warm");
}

#[test]
fn uploads_stay_in_a_zone_that_keeps_their_objects_warm() {
    let (warm, local) = warm_and_local(28);
    assert!(warm > 0.9, "{warm} of the uploads are warm");
    assert!(local > 0.99, "{local} of the uploads stay in their zone");
}
