//! Choice of the platform's watchers, and of the instances that a version is announced to.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashSet;
use steering::watchers::{
    Neighbor, OTHER_ZONES_FANOUT, OWN_ZONE_FANOUT, WATCHERS_PER_ZONE, choose_announcement_targets,
    is_watcher,
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
