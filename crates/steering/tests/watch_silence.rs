//! Time until all instances know a change while the store does not respond to its watchers.
//!
//! Guards against a configuration that takes effect too late: when the store stopped responding to
//! all watchers of three regions at once, one that was acknowledged just after took effect after
//! 3.8 s, where 3 s are allowed.
//!
//! In the model, two watchers in each region have pending watches when the store stops responding.
//! The watcher whose wait is over first abandons its watch and hands it over to its successors; the
//! first of them that receives the datagram reads the change at once.  If all datagrams are lost, a
//! successor learns of it with the next heartbeat and takes over at its next check.  A region learns
//! the change that way, or from the first region that did.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::watch_timing::{RESPONSE_GRACE, SHORT_WAIT_MS, WATCHER_CHECK_INTERVAL};
use steering::watchers::{WATCHERS_PER_ZONE, is_watcher, successors};

const REGIONS: usize = 3;

/// Longest call to the store across regions, and longest times until a change is known in all of a
/// region and in another region.
const CALL_S: f64 = 0.1;
const KNOWN_IN_REGION_S: f64 = 0.4;
const KNOWN_IN_OTHER_REGIONS_S: f64 = 1.0;

/// Instances of a region.
const REGION_INSTANCES: usize = 10;

/// Fraction of datagrams that are lost, and longest time until one that is not takes effect on a
/// busy machine.
const LOST_FRACTION: f64 = 0.03;
const DATAGRAM_S: f64 = 0.1;

/// Time within which a configuration must take effect.
const MAX_DELAY_S: f64 = 3.0;

/// Draws of the model, and how many of them may be late: a store that responds to no watcher of any
/// region is rare.
const DRAWS: usize = 10_000;
const MAX_LATE: usize = DRAWS / 100;

/// Returns the time from when the store stops responding until one watcher abandons its watch.
fn watch_abandoned_s(random: &mut SmallRng) -> f64 {
    let mut ends_s = -30.0 - random.random_range(0.0..30.0);
    while ends_s <= 0.0 {
        ends_s += random.random_range(SHORT_WAIT_MS[0]..SHORT_WAIT_MS[1]) as f64 / 1_000.0;
    }
    ends_s + RESPONSE_GRACE.as_secs_f64()
}

/// Returns the time from when the store stops responding until an instance that takes over in a
/// region knows the change.
fn change_known_s(random: &mut SmallRng) -> f64 {
    let detected_s =
        (0..WATCHERS_PER_ZONE).map(|_| watch_abandoned_s(random)).fold(f64::MAX, f64::min);
    detected_s + taken_over_s(random) + CALL_S
}

/// Returns the time from an abandoned watch until a successor begins to watch.
fn taken_over_s(random: &mut SmallRng) -> f64 {
    let names: Vec<String> = (0..REGION_INSTANCES).map(|number| format!("i-{number}")).collect();
    let names = || names.iter().map(String::as_str);
    let abandoned_by = names().find(|own| is_watcher(own, names())).expect("a watcher");
    let received = successors(abandoned_by, names()).into_iter().filter_map(|_| {
        let is_lost = random.random_bool(LOST_FRACTION);
        (!is_lost).then(|| random.random_range(0.0..DATAGRAM_S))
    });
    let first_s = received.fold(f64::MAX, f64::min);
    let by_heartbeat_s = random.random_range(0.0..=HEARTBEAT_INTERVAL.as_secs_f64())
        + random.random_range(0.0..WATCHER_CHECK_INTERVAL.as_secs_f64());
    first_s.min(by_heartbeat_s)
}

// Guards against watchers that abandon their watches late, and other instances that are slow to
// take over.
#[test]
fn configuration_unseen_while_all_watches_are_silent() {
    let mut random = SmallRng::seed_from_u64(1);
    let late = (0..DRAWS).filter(|_| {
        let regions: Vec<f64> = (0..REGIONS).map(|_| change_known_s(&mut random)).collect();
        let first = regions.iter().copied().fold(f64::MAX, f64::min);
        let last = regions
            .iter()
            .map(|known_s| known_s.min(first + KNOWN_IN_OTHER_REGIONS_S))
            .fold(0.0, f64::max);
        last + KNOWN_IN_REGION_S > MAX_DELAY_S
    });
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} of {DRAWS} are late");
}
