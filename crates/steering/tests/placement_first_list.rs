//! Which instances read the platform's lists when all of them start together, as after a power
//! loss. What the store sends then must grow with the number of backend servers, not with instances
//! times backend servers.

use std::time::Duration;
use steering::placement::BootstrapDelay;
use steering::placement::bootstrap_delay::RegistrationState;

/// Instances of a region: a third of fleets of 100, 300, 985 and 1,970.
const SIZES: [usize; 4] = [33, 100, 328, 656];

fn delays(size: usize, registration: RegistrationState) -> Vec<Duration> {
    let position = |rank: usize| rank as f64 / size as f64;
    (0..size).map(|rank| BootstrapDelay::new(position(rank)).delay(rank, registration)).collect()
}

fn begun_by(delays: &[Duration], ms: u64) -> usize {
    delays.iter().filter(|delay| **delay <= Duration::from_millis(ms)).count()
}

#[test]
fn equally_many_instances_begin_in_a_region_of_any_size() {
    for size in SIZES {
        let delays = delays(size, RegistrationState::Registered);
        assert_eq!(begun_by(&delays, 0), 6, "{size}");
        assert_eq!(begun_by(&delays, 1_000), 11, "{size}");
        assert_eq!(begun_by(&delays, 3_000), 21, "{size}");
    }
}

#[test]
fn no_instance_waits_longer_than_the_longest_delay() {
    for size in SIZES {
        let delays = delays(size, RegistrationState::Registered);
        assert!(delays.iter().all(|delay| *delay <= Duration::from_secs(8)), "{size}");
    }
}

#[test]
fn few_unlisted_instances_begin_before_the_first_list_is_passed_on() {
    for size in SIZES {
        let mut delays = delays(size, RegistrationState::Unsure);
        delays.sort_unstable();
        // The first one after the one with the shortest delay, which is zero here.
        let passed_on = delays[1] + Duration::from_millis(1500);
        let begun = delays.iter().filter(|delay| **delay <= passed_on).count();
        assert!(begun <= 25, "{size}: {begun}");
        assert!(delays.iter().all(|delay| *delay <= Duration::from_secs(4)), "{size}");
    }
}

#[test]
fn one_of_a_few_unlisted_instances_begins_before_the_longest_delay() {
    let delays = delays(4, RegistrationState::Unsure);
    assert!(delays[1] < Duration::from_millis(3500), "{delays:?}");
}

#[test]
fn an_instance_without_peers_begins_at_once() {
    assert_eq!(BootstrapDelay::new(1.0).delay(0, RegistrationState::None), Duration::ZERO);
}
