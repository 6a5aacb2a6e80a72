//! One availability zone under random schedules of lost, delayed and duplicated messages, lost
//! replies of the platform, outages, pauses, crashes, replacements and a wrong list of instances.
//!
//! At every step the sum of what all instances could use stays within the cap, and so do the
//! requests that they sent in the last second.

#[path = "shares_zone/node.rs"]
mod node;
#[path = "shares_zone/world.rs"]
mod world;

use world::{Options, World};

/// Runs `steps` steps for each seed; panics if a cap is exceeded, and returns the permits acquired.
fn run_all(options: Options, seeds: std::ops::Range<u64>, steps: usize) -> u64 {
    seeds
        .map(|seed| {
            let mut world = World::new(options, seed);
            (0..steps).for_each(|_| world.step());
            world.acquired_total()
        })
        .sum()
}

#[test]
fn no_cap_is_exceeded_under_random_schedules() {
    let acquired = run_all(Options::default(), 0..400, 4_000);

    assert!(acquired > 40_000, "only {acquired} permits were acquired");
}

#[test]
fn no_cap_is_exceeded_when_the_platform_is_down_for_hours() {
    let options = Options { long_outages: true, ..Options::default() };

    let acquired = run_all(options, 1_000..1_200, 4_000);

    assert!(acquired > 5_000, "only {acquired} permits were acquired");
}

#[test]
fn no_cap_is_exceeded_when_instances_are_replaced_repeatedly() {
    let options = Options { frequent_replacements: true, ..Options::default() };

    let acquired = run_all(options, 2_000..2_200, 4_000);

    assert!(acquired > 3_000, "only {acquired} permits were acquired");
}
