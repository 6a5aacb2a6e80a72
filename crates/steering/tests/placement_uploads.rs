//! Uploads in a region with few backend servers: of many objects, and of more than it can serve.
//!
//! Guards against cold uploads. A region of three availability zones has 7 backend servers in each,
//! for uploads and withdrawals of 71 and 81 objects, and each backend server has its last 13
//! objects warm. When an upload stayed in the zone of its instance, each object had a place in
//! every zone besides the one for withdrawals: 11 to 19 objects per backend server, more than it
//! has warm. Each response then took three times as long and queues grew: with only a quarter of
//! the slots needed, half of the requests were late, responses had a median of 2.5 s where 0.95 s
//! is expected, and 6 to 18 requests waited at half of the backend servers.
//!
//! Guards also against uploads that are refused in a region with few backend servers, while other
//! regions have free slots.

mod placement_common;

use placement_common::{SERVICE, name, peer, roster, servers, step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{AllowedRegions, RequestKind};
use steering::placement::peers::Demand;
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

/// Returns the fraction of uploads that leave the region `north` with 2 backend servers of 6 slots.
///
/// `uploads` and `others` are its requests per second, of 400 ms each; the region `south` has 20
/// backend servers and no requests.
fn fraction_that_leaves(uploads: f32, others: f32, allowed_regions: &AllowedRegions) -> f64 {
    let now = Instant::now();
    let service = name(SERVICE);
    let backend_servers = servers(&[("north-a", 2), ("south-a", 20)], 6);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let mut own = peer("one", "north-a");
    let demand = Demand {
        movable_per_s: others,
        pinned_per_s: uploads,
        warm_ms: Some(400.0),
        ..Demand::default()
    };
    own.demand = vec![(demand_key(SERVICE), demand)];
    step(&mut roster, &own, &[peer("two", "south-a")], now);
    let count = 2_000u32;
    let left = (0..count).filter(|number| {
        let placement_request = PlacementRequest {
            kind: RequestKind::Upload,
            allowed_regions,
            ..placement_common::placement_request(
                &service,
                steering::hash::mix(u64::from(*number)),
                &[],
            )
        };
        let choice = roster.choose(&placement_request, now).expect("a slot is free");
        roster.record_ending(&choice.incarnation(), Ending::Unsent, None, now);
        choice.availability_zone.starts_with("south")
    });
    left.count() as f64 / f64::from(count)
}

#[test]
fn uploads_that_their_region_can_not_serve_leave_it() {
    // 24 busy slots where there are 12: what stays must fit with some headroom.
    let left = fraction_that_leaves(60.0, 0.0, &AllowedRegions::Any);
    assert!((0.6..0.85).contains(&left), "{left} of the uploads leave");
}

#[test]
fn uploads_stay_if_their_region_can_serve_them_without_its_other_requests() {
    let left = fraction_that_leaves(12.0, 60.0, &AllowedRegions::Any);
    assert!(left == 0.0, "{left} of the uploads leave");
}

#[test]
fn uploads_that_only_one_region_may_serve_stay_there() {
    let allowed_regions = AllowedRegions::Only(vec![name("north")]);
    let left = fraction_that_leaves(60.0, 0.0, &allowed_regions);
    assert!(left == 0.0, "{left} of the uploads leave");
}
