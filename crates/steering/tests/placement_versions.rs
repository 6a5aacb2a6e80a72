//! How requests are divided between versions during a rollout.

mod placement_common;

use placement_common::{name, peer, placement_request, roster, servers, step, with_demand};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use steering::deployment::BackendServers;
use steering::placement::{Choice, Roster};
use steering::rollout::{Reach, VersionRule};

const KEYS: u64 = 2_000;

/// Ten backend servers of each version in one availability zone, and ten of the old version in
/// another region.
fn both_versions() -> BackendServers {
    let mut backend_servers = servers(&[("north-a", 10), ("south-a", 10)], 9);
    for number in 0..10 {
        let mut new = placement_common::server("north-a", 9);
        new.version = name("v2");
        backend_servers.insert(name(&format!("new-{number}")), new);
    }
    backend_servers
}

fn roster_with_rule(reach: Reach, backend_servers: &BackendServers, now: Instant) -> Roster {
    let mut roster = roster("one", "north-a", backend_servers, now);
    let rule = VersionRule { target: name("v2"), reach };
    roster.set_version_rules(BTreeMap::from([(name(placement_common::SERVICE), rule)]));
    roster
}

/// The backend servers chosen for many objects; each request ends before the next.
fn choices(roster: &mut Roster, now: Instant) -> Vec<Choice> {
    let service = name(placement_common::SERVICE);
    let choose = |key: u64| {
        let choice = roster.choose(
            &placement_request(&service, key.wrapping_mul(0x9e37_79b9_7f4a_7c15), &[]),
            now,
        );
        let choice = choice.expect("a backend server has a free slot");
        roster.record_ending(&choice.id, steering::placement::Ending::Abandoned, None, now);
        choice
    };
    (0..KEYS).map(choose).collect()
}

fn to_target(choices: &[Choice]) -> Vec<&Choice> {
    choices.iter().filter(|choice| choice.is_target).collect()
}

#[test]
fn a_version_in_trial_gets_its_share_on_few_backend_servers() {
    let now = Instant::now();
    let mut roster = roster_with_rule(Reach::Trial(0.1), &both_versions(), now);
    let all = choices(&mut roster, now);
    let part = to_target(&all).len() as f64 / KEYS as f64;
    assert!((0.07..0.13).contains(&part), "{part}");
    let mut used: Vec<_> = to_target(&all).iter().map(|choice| choice.id.clone()).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 2, "{used:?}");
}

#[test]
fn all_instances_assign_a_version_the_same_objects_and_it_keeps_them_as_its_share_grows() {
    let now = Instant::now();
    let backend_servers = both_versions();
    let assigned = |share| -> Vec<bool> {
        let mut roster = roster_with_rule(Reach::Spreading(share), &backend_servers, now);
        choices(&mut roster, now).iter().map(|choice| choice.is_target).collect()
    };
    let (few, more) = (assigned(0.2), assigned(0.6));
    assert_eq!(few, assigned(0.2));
    assert!(few.iter().zip(&more).all(|(few, more)| !few || *more));
    let count = |targets: &[bool]| {
        targets.iter().filter(|is_target| **is_target).count() as f64 / KEYS as f64
    };
    assert!((count(&few) - 0.2).abs() < 0.05 && (count(&more) - 0.6).abs() < 0.05);
}

#[test]
fn a_rolled_back_version_gets_nothing_even_without_another_version() {
    let now = Instant::now();
    let mut backend_servers = both_versions();
    let mut roster = roster_with_rule(Reach::Nothing, &backend_servers, now);
    assert!(to_target(&choices(&mut roster, now)).is_empty());
    backend_servers.retain(|id, _| id.starts_with("new-"));
    let mut roster = roster_with_rule(Reach::Nothing, &backend_servers, now);
    let service = name(placement_common::SERVICE);
    assert!(roster.choose(&placement_request(&service, 7, &[]), now).is_err());
}

#[test]
fn a_fully_rolled_out_version_gets_all_and_others_serve_where_it_has_no_backend_server() {
    let now = Instant::now();
    let mut backend_servers = both_versions();
    let mut roster = roster_with_rule(Reach::All, &backend_servers, now);
    assert_eq!(to_target(&choices(&mut roster, now)).len(), KEYS as usize);
    backend_servers.retain(|id, _| !id.starts_with("new-"));
    let mut roster = roster_with_rule(Reach::All, &backend_servers, now);
    let all = choices(&mut roster, now);
    assert!(all.iter().all(|choice| &*choice.availability_zone == "north-a"));
}

#[test]
fn a_version_in_trial_gets_no_requests_of_a_region_where_it_has_no_backend_server() {
    let now = Instant::now();
    let mut backend_servers = both_versions();
    for (id, server) in &mut backend_servers {
        if id.starts_with("new-") {
            server.availability_zone = name("south-a");
        }
    }
    let mut roster = roster_with_rule(Reach::Trial(0.1), &backend_servers, now);
    assert!(choices(&mut roster, now).iter().all(|choice| &*choice.availability_zone == "north-a"));
}

#[test]
fn without_a_rule_versions_are_treated_alike_again() {
    let now = Instant::now();
    let mut roster = roster_with_rule(Reach::Nothing, &both_versions(), now);
    roster.set_version_rules(BTreeMap::new());
    let all = choices(&mut roster, now);
    assert!(all.iter().any(|choice| &*choice.version == "v2"));
    assert!(to_target(&all).is_empty());
}

// Guards against a shift of traffic at once where a roll-out keeps servers of a version from use.
#[test]
fn the_division_between_versions_moves_a_share_at_its_pace() {
    const MAX_SHIFT: f64 = 0.15;
    let start = Instant::now();
    let mut roster = roster("one", "north-a", &both_versions(), start);
    let own = with_demand(peer("one", "north-a"), 240.0, 1_000);
    let other = with_demand(peer("two", "south-a"), 10.0, 1_000);
    let mut moved = Vec::new();
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        if second == 10 {
            let rule = VersionRule { target: name("v2"), reach: Reach::Trial(0.05) };
            roster.set_version_rules(BTreeMap::from([(name(placement_common::SERVICE), rule)]));
        }
        step(&mut roster, &own, std::slice::from_ref(&other), now);
        moved.push(roster.moved_shares().map(|(_, share)| share).sum::<f64>());
    }
    let shift = |seconds: &[f64]| (seconds[2] - seconds[0]).abs();
    let most = moved.windows(3).skip(5).map(shift).fold(0.0, f64::max);
    assert!(most <= MAX_SHIFT, "{most}: {moved:?}");
    assert!(moved[39] > moved[9] + 0.1, "the share follows in time: {moved:?}");
}
