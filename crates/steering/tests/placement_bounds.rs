//! Limits on the total traffic of all instances, which hold without coordination between them.

mod placement_common;

use placement_common::{
    name, peer, placement_request, region_of, roster, servers, step, with_demand,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use steering::deployment::{Evacuations, WeightedService};
use steering::placement::peer_update::Heartbeat;
use steering::placement::peers::LOST_AFTER;
use steering::placement::shares::{RegionLoad, RegionalShare, assume_demand, target_split};
use steering::placement::{Ending, PeerState, Peers, WeightedRoundRobin};
use steering::terms::timings::ShiftLimits;

/// Requests per second that a cold backend server takes in the fixtures, with the permitted overage
/// and slack: 11 * 1.5 + 5.
const COLD_BOUND: usize = 21;

/// Returns the most requests that all instances of a region send to one cold backend server within
/// a second; `receives_heartbeats` decides which instances know each other.
fn cold_requests(instances: usize, receives_heartbeats: impl Fn(usize, usize) -> bool) -> usize {
    let start = Instant::now();
    let mut backend_servers = servers(&[("north-a", 1)], 9);
    for record in backend_servers.values_mut() {
        record.cold_remaining = Duration::from_secs(30);
    }
    let peer_of = |number: usize| peer(&format!("instance-{number}"), "north-a");
    let mut rosters: Vec<_> = (0..instances)
        .map(|number| {
            let mut roster = roster(&peer_of(number).name, "north-a", &backend_servers, start);
            let others: Vec<_> = (0..instances)
                .filter(|other| *other != number && receives_heartbeats(number, *other))
                .map(peer_of)
                .collect();
            step(&mut roster, &peer_of(number), &others, start);
            roster
        })
        .collect();
    let service = name(placement_common::SERVICE);
    let mut times: Vec<u64> = Vec::new();
    for at_ms in (0..5_000).step_by(5) {
        let now = start + Duration::from_millis(at_ms);
        for roster in &mut rosters {
            if let Ok(choice) = roster.choose(&placement_request(&service, at_ms, &[]), now) {
                times.push(at_ms);
                let after = Duration::from_millis(100);
                roster.record_ending(
                    &choice.id,
                    Ending::Answered { after, was_object_warm: false },
                    None,
                    now,
                );
            }
        }
    }
    let within = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn all_instances_together_respect_the_rate_of_a_cold_backend_server() {
    let most = cold_requests(12, |_, _| true);
    assert!((5..=COLD_BOUND).contains(&most), "{most} requests in a second");
}

#[test]
fn the_rate_of_a_cold_backend_server_holds_while_membership_views_differ() {
    // Two halves that don't know each other have twice the senders.
    let most = cold_requests(12, |one, other| one % 2 == other % 2);
    assert!((5..=COLD_BOUND).contains(&most), "{most} requests in a second");
}

#[test]
fn instances_that_know_no_other_send_nothing_to_a_cold_backend_server() {
    assert_eq!(cold_requests(12, |_, _| false), 0);
}

#[test]
fn after_an_evacuation_backend_servers_count_as_cold_until_checked() {
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 1)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, now);
    let service = name(placement_common::SERVICE);
    roster.set_evacuations(&Evacuations::from([name("north-a")]), now);
    let unchecked = roster.set_evacuations(&Evacuations::new(), now);
    assert_eq!(unchecked.len(), 1);
    roster.choose(&placement_request(&service, 1, &[]), now).expect_err("it may be cold");
    roster.record_health_check("north-a-0", Duration::ZERO, now);
    roster.choose(&placement_request(&service, 1, &[]), now).expect("it is warm");
}

#[test]
fn backend_servers_of_a_restored_zone_are_checked_by_few_instances() {
    // Guards against checks by all instances: 295 instances each checked all 312 backend servers of
    // a zone after its evacuation, 92,040 checks for 57,583 requests, and each check occupies a
    // slot like a request.
    let now = Instant::now();
    let backend_servers = servers(&[("north-a", 30)], 9);
    let peer_in = |number: usize, zone| peer(&format!("instance-{number}"), zone);
    let north: Vec<_> = (0..100).map(|number| peer_in(number, "north-b")).collect();
    let south: Vec<_> = (100..200).map(|number| peer_in(number, "south-a")).collect();
    let check_count = |own: &steering::placement::Peer| {
        let mut roster = roster(&own.name, &own.availability_zone, &backend_servers, now);
        let others: Vec<_> =
            north.iter().chain(&south).filter(|other| other.name != own.name).cloned().collect();
        step(&mut roster, own, &others, now);
        roster.set_evacuations(&Evacuations::from([name("north-a")]), now);
        roster.set_evacuations(&Evacuations::new(), now).len()
    };
    // Two instances of the region send to each cold backend server, so only their checks are
    // needed.
    assert_eq!(north.iter().map(check_count).sum::<usize>(), 2 * backend_servers.len());
    assert_eq!(south.iter().map(check_count).sum::<usize>(), 0);
}

#[test]
fn unchecked_backend_servers_stay_cold_for_the_configured_time() {
    let now = Instant::now();
    let service = name(placement_common::SERVICE);
    let mut deployment = placement_common::deployment();
    let cold_start = Duration::from_secs(8);
    deployment.services.get_mut(&service).expect("the service is configured").cold_start =
        cold_start;
    let mut roster = roster("one", "north-a", &servers(&[("north-a", 1)], 9), now);
    roster.set_deployment(&deployment);
    roster.set_evacuations(&Evacuations::from([name("north-a")]), now);
    roster.set_evacuations(&Evacuations::new(), now);
    let almost = now + cold_start - Duration::from_millis(1);
    roster.choose(&placement_request(&service, 1, &[]), almost).expect_err("it may be cold");
    roster.choose(&placement_request(&service, 1, &[]), now + cold_start).expect("it is warm");
}

#[test]
fn a_share_moves_slowly_while_only_demand_changes() {
    let start = Instant::now();
    let mut share = RegionalShare::default();
    let mut last = 0.0;
    for step_number in 0..100u32 {
        // Demand alternates every four seconds.
        let movable = if (step_number / 5) % 2 == 0 { 5.0 } else { 60.0 };
        let loads = loads(&[("north", movable, 18.0), ("south", 20.0, 100.0)]);
        let now = start + Duration::from_millis(800) * step_number;
        share.step(&target_split("north", &loads), 18.0, &ShiftLimits::default(), now);
        let moved: f64 = share.split().values().sum();
        assert!((moved - last).abs() <= 0.03 * 0.8 + 1e-9, "moved from {last} to {moved}");
        last = moved;
    }
    assert!(last > 0.1, "{last}");
}

#[test]
fn a_share_follows_lost_capacity_at_once() {
    let start = Instant::now();
    let mut share = RegionalShare::default();
    let whole = loads(&[("north", 10.0, 30.0), ("south", 10.0, 60.0)]);
    share.step(&target_split("north", &whole), 30.0, &ShiftLimits::default(), start);
    assert!(share.split().is_empty());
    let lost = loads(&[("north", 10.0, 0.0), ("south", 10.0, 60.0)]);
    share.step(
        &target_split("north", &lost),
        0.0,
        &ShiftLimits::default(),
        start + Duration::from_millis(800),
    );
    assert_eq!(share.region_of(0.999).map(|region| &**region), Some("south"));
}

#[test]
fn a_share_moves_fast_after_lost_capacity_and_slowly_again_later() {
    let start = Instant::now();
    let mut share = RegionalShare::default();
    let step_time = Duration::from_millis(800);
    let moved = |share: &RegionalShare| share.split().values().sum::<f64>();
    let whole = loads(&[("north", 8.0, 20.0), ("south", 10.0, 60.0)]);
    share.step(&target_split("north", &whole), 20.0, &ShiftLimits::default(), start);
    // Half of the capacity is lost, and the demand rises only after that.
    let lost = loads(&[("north", 8.0, 10.0), ("south", 10.0, 60.0)]);
    share.step(&target_split("north", &lost), 10.0, &ShiftLimits::default(), start + step_time);
    let busy = loads(&[("north", 20.0, 10.0), ("south", 10.0, 60.0)]);
    let wanted: f64 = target_split("north", &busy).values().sum();
    assert!(wanted - moved(&share) > 0.2, "{wanted} {}", moved(&share));
    for number in 2..6 {
        share.step(
            &target_split("north", &busy),
            10.0,
            &ShiftLimits::default(),
            start + step_time * number,
        );
    }
    assert!((moved(&share) - wanted).abs() < 1e-9, "{wanted} {}", moved(&share));
    let before = moved(&share);
    let calm = loads(&[("north", 5.0, 10.0), ("south", 10.0, 60.0)]);
    share.step(
        &target_split("north", &calm),
        10.0,
        &ShiftLimits::default(),
        start + step_time * 10,
    );
    share.step(
        &target_split("north", &calm),
        10.0,
        &ShiftLimits::default(),
        start + step_time * 11,
    );
    assert!(before - moved(&share) <= 0.03 * (step_time * 6).as_secs_f64() + 1e-9);
}

#[test]
fn no_region_is_sent_more_than_the_common_utilization() {
    for own_slots in [0.0, 6.0, 18.0, 60.0] {
        for demand in [1.0, 20.0, 70.0, 200.0] {
            let loads = loads(&[
                ("north", demand, own_slots),
                ("south", 30.0, 90.0),
                ("west", 50.0, 100.0),
            ]);
            let split = target_split("north", &loads);
            let slots: f64 = loads.values().map(|load| load.slots).sum();
            let utilization = ((demand + 80.0) / slots).max(0.7);
            for (region, part) in &split {
                let load = loads[region];
                let there = load.movable + part * demand;
                assert!(there <= utilization * load.slots + 1e-6, "{region} gets {there}");
            }
            let moved: f64 = split.values().sum();
            assert!((0.0..=1.0 + 1e-9).contains(&moved), "{moved}");
        }
    }
}

#[test]
fn demand_is_assumed_equal_in_all_regions_until_it_is_measured() {
    let mut unknown = loads(&[("north", 0.0, 18.0), ("south", 0.0, 90.0), ("west", 0.0, 108.0)]);
    assume_demand(&mut unknown);
    let moved: f64 = target_split("north", &unknown).values().sum();
    assert!((0.5..0.8).contains(&moved), "a small region moves {moved} to others");
    let mut measured = loads(&[("north", 10.0, 18.0), ("south", 20.0, 90.0)]);
    let before = measured.clone();
    assume_demand(&mut measured);
    assert_eq!(measured, before);
}

#[test]
fn pauses_of_backend_servers_do_not_move_shares() {
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 8), ("south-a", 8)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, start);
    let own = with_demand(peer("one", "north-a"), 60.0, 50);
    let other = with_demand(peer("two", "south-a"), 60.0, 50);
    step(&mut roster, &own, std::slice::from_ref(&other), start);
    let before: f64 = roster.moved_shares().map(|(_, share)| share).sum();
    for id in backend_servers.keys().filter(|id| id.starts_with("north")).take(4) {
        roster.record_ending(id, Ending::Failed, None, start);
    }
    step(&mut roster, &own, &[other], start + Duration::from_millis(100));
    let after: f64 = roster.moved_shares().map(|(_, share)| share).sum();
    assert!((after - before).abs() < 0.01, "{before} became {after}");
}

#[test]
fn instances_of_a_region_agree_on_the_service_time_of_a_request() {
    // 20 instances of a region share a small service, so that each has had only a few responses,
    // some of them from far away or after a wait.
    let start = Instant::now();
    let backend_servers =
        servers(&[("north-a", 2), ("north-b", 2), ("south-a", 6), ("south-b", 6)], 9);
    let answers_ms =
        |instance: u64| [60, 100, 170, 320][usize::try_from(instance % 4).expect("few")];
    let mut rosters: Vec<_> = (0..20)
        .map(|instance| {
            let mut roster = roster(&format!("n{instance}"), "north-a", &backend_servers, start);
            let after = Duration::from_millis(answers_ms(instance));
            for _ in 0..10 {
                let ending = Ending::Answered { after, was_object_warm: false };
                roster.record_ending("north-a-0", ending, None, start);
            }
            roster
        })
        .collect();
    let peers_with_demand: Vec<_> = rosters
        .iter()
        .enumerate()
        .map(|(instance, roster)| {
            let mut peer_with_demand =
                with_demand(peer(&format!("n{instance}"), "north-a"), 15.0, 96);
            peer_with_demand.demand[0].1.warm_ms = roster.demand()[0].1.warm_ms;
            peer_with_demand
        })
        .collect();
    let demands: Vec<f64> = rosters
        .iter_mut()
        .enumerate()
        .map(|(instance, roster)| {
            let others: Vec<_> = peers_with_demand
                .iter()
                .filter(|other| other.name != peers_with_demand[instance].name)
                .cloned()
                .collect();
            step(roster, &peers_with_demand[instance], &others, start);
            roster.demand_slots(placement_common::SERVICE)
        })
        .collect();
    let least = demands.iter().copied().fold(f64::MAX, f64::min);
    let most = demands.iter().copied().fold(0.0, f64::max);
    assert!(most - least < 0.01 * most, "{demands:?}");
    assert!(most > 300.0 * 0.1 && most < 300.0 * 0.2, "{demands:?}");
}

#[test]
fn cold_answers_do_not_inflate_demand() {
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 8), ("south-a", 16)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, start);
    let own = with_demand(peer("one", "north-a"), 150.0, 50);
    let other = with_demand(peer("two", "south-a"), 150.0, 50);
    let answers = |roster: &mut steering::placement::Roster, cold_of_10: u64| {
        for number in 0..400 {
            let after = Duration::from_millis(if number % 10 < cold_of_10 { 900 } else { 270 });
            roster.record_ending(
                "south-a-0",
                Ending::Answered { after, was_object_warm: false },
                None,
                start,
            );
        }
    };
    let demand = |roster: &mut steering::placement::Roster, at_ms| {
        let now = start + Duration::from_millis(at_ms);
        step(roster, &own, std::slice::from_ref(&other), now);
        roster.demand_slots(placement_common::SERVICE)
    };
    answers(&mut roster, 0);
    let warm = demand(&mut roster, 0);
    answers(&mut roster, 5);
    let mixed = demand(&mut roster, 800);
    assert!((mixed / warm - 1.0).abs() < 0.25, "{warm} became {mixed}");
}

#[test]
fn long_requests_do_not_count_as_silence() {
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 1)], 9);
    let mut roster = roster("one", "north-a", &backend_servers, start);
    let service = name(placement_common::SERVICE);
    for _ in 0..100 {
        roster.choose(&placement_request(&service, 1, &[]), start).expect("a slot is free");
        let after = Duration::from_millis(700);
        roster.record_ending(
            "north-a-0",
            Ending::Answered { after, was_object_warm: false },
            None,
            start,
        );
    }
    roster.choose(&placement_request(&service, 1, &[]), start).expect("a slot is free");
    let at = |ms| start + Duration::from_millis(ms);
    roster
        .choose(&placement_request(&service, 1, &[]), at(3_000))
        .expect("it may still run the request");
    roster.choose(&placement_request(&service, 1, &[]), at(4_000)).expect_err("it is silent");
}

#[test]
fn parts_get_their_weights_over_short_runs() {
    let part = |service: &str, weight| WeightedService { service: name(service), weight };
    let parts = [part("a", 90.0), part("b", 7.0), part("c", 3.0)];
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts: BTreeMap<String, i32> = BTreeMap::new();
    for number in 1..=1_000 {
        let chosen = round_robin.next(&parts).expect("there are parts");
        *counts.entry(chosen.service.to_string()).or_default() += 1;
        for part in &parts {
            let fair = f64::from(number) * part.weight / 100.0;
            let got = f64::from(*counts.get(&*part.service).unwrap_or(&0));
            assert!((got - fair).abs() <= 1.0 + 1e-6, "{} got {got}, fair is {fair}", part.service);
        }
    }
    assert_eq!(WeightedRoundRobin::default().next(&[]), None);
}

#[test]
fn an_instance_whose_heartbeats_stop_is_in_no_lookup() {
    let start = Instant::now();
    let mut peers = Peers::default();
    let own = peer("one", "north-a");
    let mut other = peer("two", "north-a");
    other.caller_address = placement_common::address(8001);
    peers.record(other.clone(), start);
    assert_eq!(peers.look_up(&own, "north-a", "north", start).len(), 2);
    let later = start + LOST_AFTER;
    // A repeated old heartbeat does not prove that the instance is alive.
    assert!(!peers.record(other.clone(), later));
    assert_eq!(peers.look_up(&own, "north-a", "north", later), [own.caller_address]);
    other.heartbeat += 1;
    assert!(peers.record(other.clone(), later));
    assert_eq!(peers.look_up(&own, "north-a", "north", later).len(), 2);
    // The instance stops as planned and restarts; then an old message arrives late.
    other.heartbeat += 1;
    other.state = PeerState::Leaving;
    peers.record(other.clone(), later);
    assert_eq!(peers.look_up(&own, "north-a", "north", later), [own.caller_address]);
    let late = other.clone();
    other.started_ms += 1;
    other.heartbeat = 1;
    other.state = PeerState::Serving;
    assert!(peers.record(other, later));
    assert!(!peers.record(late, later));
    assert_eq!(peers.look_up(&own, "north-a", "north", later).len(), 2);
}

fn heartbeats(peers: &Peers, now: Instant) -> Vec<(Heartbeat, Duration)> {
    peers
        .alive_with_freshness(now)
        .map(|(_, freshness)| (freshness.heartbeat, freshness.age))
        .collect()
}

#[test]
fn relayed_heartbeats_keep_an_instance_alive() {
    let start = Instant::now();
    let (mut relaying, mut receiving) = (Peers::default(), Peers::default());
    let mut other = peer("two", "north-a");
    relaying.record(other.clone(), start);
    receiving.record(other.clone(), start);
    let later = start + LOST_AFTER;
    other.heartbeat += 1;
    relaying.record(other.clone(), later);
    receiving.record_heartbeats(heartbeats(&relaying, later), later);
    assert_eq!(receiving.alive_count(later), 1);
    // Neither a repeated heartbeat nor one of an earlier start proves that the instance is alive.
    let lost = later + LOST_AFTER;
    receiving.record_heartbeats(heartbeats(&relaying, later), lost);
    assert_eq!(receiving.alive_count(lost), 0);
    other.started_ms += 1;
    other.heartbeat = 1;
    receiving.record(other, lost);
    assert_eq!(receiving.alive_count(lost), 1);
    receiving.record_heartbeats(heartbeats(&relaying, later), lost + LOST_AFTER);
    assert_eq!(receiving.alive_count(lost + LOST_AFTER), 0);
}

#[test]
fn a_lookup_returns_the_zone_and_at_most_one_instance_besides() {
    let now = Instant::now();
    let mut peers = Peers::default();
    for (number, zone) in [(1, "north-b"), (2, "north-b"), (3, "south-a")] {
        let mut other = peer(&format!("peer-{number}"), zone);
        other.caller_address = placement_common::address(8000 + number);
        peers.record(other, now);
    }
    let own = peer("one", "north-a");
    let alone = peers.look_up(&own, "north-a", &region_of("north-a"), now);
    assert_eq!(alone.len(), 2);
    assert_eq!(alone[0], own.caller_address);
    assert_eq!(peers.look_up(&own, "north-b", "north", now).len(), 2);
    let unknown = peers.look_up(&own, "nowhere", "nowhere", now);
    assert_eq!(unknown.len(), 2);
}

fn loads(regions: &[(&str, f64, f64)]) -> BTreeMap<std::sync::Arc<str>, RegionLoad> {
    let load = |movable, slots| RegionLoad { movable, slots, ..RegionLoad::default() };
    regions.iter().map(|(region, demand, slots)| (name(region), load(*demand, *slots))).collect()
}
