//! How requests are divided between versions while one of them is brought in.

mod placement_common;

use placement_common::{name, placement_request, roster, servers};
use std::collections::BTreeMap;
use std::time::Instant;
use steering::deployment::BackendServers;
use steering::placement::{Choice, Roster};
use steering::rollout::{Reach, VersionRule};

const KEYS: u64 = 2_000;

/// Ten backend servers of each version in one availability zone, and of the old one in another region.
fn both_versions() -> BackendServers {
    let mut known = servers(&[("north-a", 10), ("south-a", 10)], 9);
    for number in 0..10 {
        let mut new = placement_common::server("north-a", 9);
        new.version = name("v2");
        known.insert(name(&format!("new-{number}")), new);
    }
    known
}

fn ruled(reach: Reach, known: &BackendServers, now: Instant) -> Roster {
    let mut roster = roster("one", "north-a", known, now);
    let rule = VersionRule { target: name("v2"), reach };
    roster.set_version_rules(BTreeMap::from([(name(placement_common::SERVICE), rule)]));
    roster
}

/// Where requests of many objects go, each of which is over before the next.
fn choices(roster: &mut Roster, now: Instant) -> Vec<Choice> {
    let service = name(placement_common::SERVICE);
    let choose = |key: u64| {
        let choice = roster.choose(
            &placement_request(&service, key.wrapping_mul(0x9e37_79b9_7f4a_7c15), &[]),
            now,
        );
        let choice = choice.expect("there is room");
        roster.record_ending(&choice.id, steering::placement::Ending::Abandoned, None, now);
        choice
    };
    (0..KEYS).map(choose).collect()
}

fn to_target(choices: &[Choice]) -> Vec<&Choice> {
    choices.iter().filter(|choice| choice.is_target).collect()
}

#[test]
fn in_its_trial_a_version_gets_its_share_at_few_backend_servers() {
    let now = Instant::now();
    let mut roster = ruled(Reach::Trial(0.1), &both_versions(), now);
    let all = choices(&mut roster, now);
    let part = to_target(&all).len() as f64 / KEYS as f64;
    assert!((0.07..0.13).contains(&part), "{part}");
    let mut used: Vec<_> = to_target(&all).iter().map(|choice| choice.id.clone()).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 2, "{used:?}");
}

#[test]
fn all_instances_give_a_version_the_same_objects_and_it_keeps_them_as_its_share_grows() {
    let now = Instant::now();
    let known = both_versions();
    let of_share = |share| -> Vec<bool> {
        let mut roster = ruled(Reach::Spreading(share), &known, now);
        choices(&mut roster, now).iter().map(|choice| choice.is_target).collect()
    };
    let (few, more) = (of_share(0.2), of_share(0.6));
    assert_eq!(few, of_share(0.2));
    assert!(few.iter().zip(&more).all(|(few, more)| !few || *more));
    let count = |targets: &[bool]| targets.iter().filter(|it| **it).count() as f64 / KEYS as f64;
    assert!((count(&few) - 0.2).abs() < 0.05 && (count(&more) - 0.6).abs() < 0.05);
}

#[test]
fn a_version_that_was_turned_back_gets_nothing_even_when_there_is_no_other() {
    let now = Instant::now();
    let mut known = both_versions();
    let mut roster = ruled(Reach::Nothing, &known, now);
    assert!(to_target(&choices(&mut roster, now)).is_empty());
    known.retain(|id, _| id.starts_with("new-"));
    let mut roster = ruled(Reach::Nothing, &known, now);
    let service = name(placement_common::SERVICE);
    assert!(roster.choose(&placement_request(&service, 7, &[]), now).is_err());
}

#[test]
fn a_version_that_has_all_requests_gets_all_and_others_help_where_it_has_no_backend_server() {
    let now = Instant::now();
    let mut known = both_versions();
    let mut roster = ruled(Reach::All, &known, now);
    assert_eq!(to_target(&choices(&mut roster, now)).len(), KEYS as usize);
    known.retain(|id, _| !id.starts_with("new-"));
    let mut roster = ruled(Reach::All, &known, now);
    let all = choices(&mut roster, now);
    assert!(all.iter().all(|choice| &*choice.availability_zone == "north-a"));
}

#[test]
fn in_its_trial_a_version_gets_nothing_from_another_region_for_want_of_backend_servers() {
    let now = Instant::now();
    let mut known = both_versions();
    for (id, server) in &mut known {
        if id.starts_with("new-") {
            server.availability_zone = name("south-a");
        }
    }
    let mut roster = ruled(Reach::Trial(0.1), &known, now);
    assert!(choices(&mut roster, now).iter().all(|it| &*it.availability_zone == "north-a"));
}

#[test]
fn without_a_rule_versions_are_alike_again() {
    let now = Instant::now();
    let mut roster = ruled(Reach::Nothing, &both_versions(), now);
    roster.set_version_rules(BTreeMap::new());
    let all = choices(&mut roster, now);
    assert!(all.iter().any(|choice| &*choice.version == "v2"));
    assert!(to_target(&all).is_empty());
}
