//! How soon all instances know a change of which the store tells only those that don't follow it.
//!
//! **What was seen.** The store fell silent towards all instances that followed it, in three regions at once, and a
//! configuration that was acknowledged just after came into force 3.8 s later, where 3 s are allowed.
//!
//! **The model.** Two followers in each region have watches under way when the store falls silent.  Whose wait is over
//! first gives its watch up and tells it; another instance of the region looks, follows in its place and learns the change.  A
//! region learns it so, or from the region that was first.  Who gives up tells it at once to a few of the region only, so the
//! one that follows next may hear it a heartbeat later.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::watch_timing::{ANSWER_SLACK, RECHECK, SOON_WAIT_MS};
use steering::watchers::WATCHERS_PER_ZONE;

const REGIONS: usize = 3;

/// Longest call to the store across regions, and longest times until news are known in a region and in another one.
const CALL_S: f64 = 0.1;
const KNOWN_NEAR_S: f64 = 0.4;
const KNOWN_FAR_S: f64 = 1.0;

/// Time in which a configuration has to be in force.
const BOUND_S: f64 = 3.0;

/// Draws, and those of them that may be late: silence towards all followers of all regions is rare by itself.
const DRAWS: usize = 10_000;
const MOST_LATE: usize = DRAWS / 100;

/// Time from the silence until one follower gives its watch up.
fn given_up_s(random: &mut SmallRng) -> f64 {
    let mut ends_s = -30.0 - random.random_range(0.0..30.0);
    while ends_s <= 0.0 {
        ends_s += random.random_range(SOON_WAIT_MS[0]..SOON_WAIT_MS[1]) as f64 / 1_000.0;
    }
    ends_s + ANSWER_SLACK.as_secs_f64()
}

/// Time from the silence until an instance of a region that was not a follower knows the change.
fn learned_s(random: &mut SmallRng) -> f64 {
    let noticed = (0..WATCHERS_PER_ZONE).map(|_| given_up_s(random)).fold(f64::MAX, f64::min);
    let told_s = random.random_range(0.0..=HEARTBEAT_INTERVAL.as_secs_f64());
    noticed + told_s + random.random_range(0.0..RECHECK.as_secs_f64()) + CALL_S
}

// Guards against CONFIG while the store is silent towards all that follow it: their watches were given up late, and others
// were slow to follow in their place.
#[test]
fn configuration_unseen_while_all_watches_are_silent() {
    let mut random = SmallRng::seed_from_u64(1);
    let late = (0..DRAWS).filter(|_| {
        let regions: Vec<f64> = (0..REGIONS).map(|_| learned_s(&mut random)).collect();
        let first = regions.iter().copied().fold(f64::MAX, f64::min);
        let last = regions.iter().map(|it| it.min(first + KNOWN_FAR_S)).fold(0.0, f64::max);
        last + KNOWN_NEAR_S > BOUND_S
    });
    let late = late.count();
    assert!(late <= MOST_LATE, "{late} of {DRAWS} are late");
}
