//! Choice of the platform's watchers, and of the instances that a version is announced to.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashSet;
use steering::watchers::{
    Neighbor, OTHER_ZONES_FANOUT, OWN_ZONE_FANOUT, SUCCESSORS, WATCHERS_PER_ZONE,
    choose_announcement_targets, is_watcher, position, successors,
};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i-{number:04x}")).collect()
}

fn watchers(names: &[String]) -> HashSet<&str> {
    let is_one = |own: &&String| is_watcher(own, names.iter().map(String::as_str));
    names.iter().filter(is_one).map(String::as_str).collect()
}

fn neighbors(zones: usize, per_zone: usize) -> Vec<Neighbor> {
    let neighbor = |zone: usize, number: usize| Neighbor {
        name: format!("z{zone}-{number}").into(),
        availability_zone: format!("z{zone}").into(),
    };
    (0..zones).flat_map(|zone| (0..per_zone).map(move |number| neighbor(zone, number))).collect()
}

#[test]
fn the_number_of_watchers_is_independent_of_the_size_of_the_zone() {
    for size in 0..=130 {
        let names = names(size);

        assert_eq!(watchers(&names).len(), size.min(WATCHERS_PER_ZONE), "{size} instances");
    }
}

#[test]
fn the_loss_of_an_instance_leaves_the_other_watchers() {
    let names = names(130);
    let before = watchers(&names);

    for lost in &names {
        let remaining: Vec<String> = names.iter().filter(|name| *name != lost).cloned().collect();
        let after = watchers(&remaining);

        let remaining = before.iter().filter(|name| *name != lost);
        assert!(remaining.clone().all(|name| after.contains(name)), "without {lost}");
    }
}

#[test]
fn an_instance_that_is_missing_in_the_list_counts_itself() {
    let names = names(3);

    assert!(is_watcher("alone", std::iter::empty()));
    assert_eq!(
        names.iter().filter(|own| is_watcher(own, names.iter().map(String::as_str))).count(),
        WATCHERS_PER_ZONE
    );
}

/// Names in the order of their rank.
fn ranked_names(count: usize) -> Vec<String> {
    let mut names = names(count);
    let all = names.clone();
    names.sort_by_key(|own| position(own, all.iter().map(String::as_str)));
    names
}

fn successors_of<'a>(own: &str, members: &'a [String]) -> Vec<&'a str> {
    successors(own, members.iter().map(String::as_str))
}

#[test]
fn a_watcher_is_replaced_by_the_instances_that_rank_next() {
    let names = ranked_names(130);
    let next = [names[2].as_str(), names[3].as_str()];

    let of_watchers = names[..WATCHERS_PER_ZONE].iter().map(|own| successors_of(own, &names));

    assert_eq!(next.len(), SUCCESSORS);
    assert!(of_watchers.into_iter().all(|successors| successors == next));
}

#[test]
fn a_lost_successor_is_replaced_by_the_next_one() {
    let mut names = ranked_names(130);
    let lost = names.remove(2);

    let successors = successors_of(&names[0], &names);

    assert!(!successors.contains(&lost.as_str()));
    assert_eq!(successors, [names[2].as_str(), names[3].as_str()]);
}

// A successor that gets no response itself passes the watch on to instances that do not watch yet.
#[test]
fn a_successor_is_replaced_by_instances_below_the_watchers() {
    let names = ranked_names(130);

    let successors = successors_of(&names[2], &names);

    assert_eq!(successors, [names[3].as_str(), names[4].as_str()]);
}

#[test]
fn a_small_region_has_fewer_successors() {
    let counts: Vec<usize> = (1..=5)
        .map(|size| {
            let names = ranked_names(size);
            successors_of(&names[0], &names).len()
        })
        .collect();

    assert_eq!(counts, [0, 0, 1, 2, 2]);
}

#[test]
fn announcements_are_bounded_and_reach_nearly_all_of_a_large_zone() {
    let all = neighbors(3, 130);
    let mut random = StdRng::seed_from_u64(1);
    let mut pending = vec![all[0].clone()];
    let mut reached: HashSet<Neighbor> = pending.iter().cloned().collect();

    while let Some(own) = pending.pop() {
        let chosen = choose_announcement_targets(&own, &all, &mut random);
        assert!(chosen.len() <= OWN_ZONE_FANOUT + OTHER_ZONES_FANOUT);
        assert!(!chosen.contains(&own));
        pending.extend(chosen.into_iter().filter(|other| reached.insert(other.clone())));
    }

    assert!(reached.len() * 100 >= all.len() * 95, "{} of {}", reached.len(), all.len());
}
