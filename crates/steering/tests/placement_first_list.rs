//! Which instances read the platform's lists when all of them start together.
//!
//! **The load.** All instances lose power at once.  What the store then sends must grow with the backend
//! servers, not with instances times backend servers.

use std::time::Duration;
use steering::placement::BootstrapDelay;
use steering::placement::bootstrap_delay::RegistrationState;

/// Instances of a region: a third of 100, 300, 985 and 1,970.
const SIZES: [usize; 4] = [33, 100, 328, 656];

fn due(size: usize, others: RegistrationState) -> Vec<Duration> {
    let share = |place: usize| place as f64 / size as f64;
    (0..size).map(|place| BootstrapDelay::new(share(place)).delay(place, others)).collect()
}

fn begun_by(due: &[Duration], ms: u64) -> usize {
    due.iter().filter(|due| **due <= Duration::from_millis(ms)).count()
}

#[test]
fn as_many_begin_in_a_region_of_any_size() {
    for size in SIZES {
        let due = due(size, RegistrationState::Registered);
        assert_eq!(begun_by(&due, 0), 6, "{size}");
        assert_eq!(begun_by(&due, 1_000), 11, "{size}");
        assert_eq!(begun_by(&due, 3_000), 21, "{size}");
    }
}

#[test]
fn nobody_waits_for_others_for_ever() {
    for size in SIZES {
        let due = due(size, RegistrationState::Registered);
        assert!(due.iter().all(|due| *due <= Duration::from_secs(8)), "{size}");
    }
}

#[test]
fn of_instances_that_start_for_the_first_time_few_begin_before_the_first_list_is_passed_on() {
    for size in SIZES {
        let mut due = due(size, RegistrationState::Unsure);
        due.sort_unstable();
        // The first one, after the least patient of all, which begins at once here.
        let passed_on = due[1] + Duration::from_millis(1500);
        let begun = due.iter().filter(|due| **due <= passed_on).count();
        assert!(begun <= 25, "{size}: {begun}");
        assert!(due.iter().all(|due| *due <= Duration::from_secs(4)), "{size}");
    }
}

#[test]
fn one_of_a_few_that_start_for_the_first_time_begins_before_the_longest_wait() {
    let due = due(4, RegistrationState::Unsure);
    assert!(due[1] < Duration::from_millis(3500), "{due:?}");
}

#[test]
fn one_that_is_alone_begins_at_once() {
    assert_eq!(BootstrapDelay::new(1.0).delay(0, RegistrationState::None), Duration::ZERO);
}
