//! Compares the sliding window with a log of all acquired amounts and their times.

use proptest::prelude::*;
use steering::Time;
use steering::shares::{SlidingWindow, WINDOW};

/// An attempt to acquire `amount`, `step_ns` after the previous attempt, under `limit`.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    step_ns: u64,
    amount: u64,
    limit: u64,
}

/// Generates steps from less than a bin to more than a window, and bursts.
fn attempt() -> impl Strategy<Value = Attempt> {
    let step_ns = prop_oneof![
        3 => Just(0),
        4 => 1_u64..40_000_000,
        2 => Just(31_250_000),
        1 => 900_000_000_u64..1_100_000_000,
    ];
    (step_ns, 1_u64..4, prop_oneof![0_u64..4, 4_u64..20])
        .prop_map(|(step_ns, amount, limit)| Attempt { step_ns, amount, limit })
}

/// Sums the logged amounts in the window of one second that ends at `now`.
fn used_in_log(log: &[(Time, u64)], now: Time) -> u64 {
    log.iter().filter(|(at, _)| now.since(*at) < WINDOW).map(|(_, amount)| amount).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_window_holds_more_than_its_limit(
        start_ns in 0_u64..100_000_000,
        attempts in prop::collection::vec(attempt(), 1..60),
    ) {
        let mut window = SlidingWindow::default();
        let mut log = Vec::new();
        let mut now_ns = start_ns;

        for Attempt { step_ns, amount, limit } in attempts {
            now_ns += step_ns;
            let now = Time::from_ns(now_ns);
            match window.try_acquire(now, amount, limit) {
                Ok(()) => {
                    log.push((now, amount));
                    prop_assert!(used_in_log(&log, now) <= limit);
                }
                // A refusal is correct if `amount` exceeds the limit over a window plus one bin.
                Err(earliest) => {
                    let longest = WINDOW + std::time::Duration::from_nanos(31_250_000);
                    let spent: u64 = log.iter()
                        .filter(|(at, _)| now.since(*at) < longest)
                        .map(|(_, amount)| amount).sum();
                    prop_assert!(spent + amount > limit);
                    prop_assert_eq!(earliest.is_none(), amount > limit);
                }
            }
        }
    }

    #[test]
    fn a_refusal_reports_the_earliest_time_of_success(
        attempts in prop::collection::vec(attempt(), 1..40),
        limit in 3_u64..20,
    ) {
        let mut window = SlidingWindow::default();
        let mut now_ns = 0;
        for Attempt { step_ns, amount, .. } in attempts {
            now_ns += step_ns;
            if let Err(earliest) = window.try_acquire(Time::from_ns(now_ns), amount, limit) {
                let earliest = earliest.expect("an amount below the limit");

                let just_before = Time::from_ns(earliest.as_ns() - 1);
                prop_assert!(window.clone().try_acquire(just_before, amount, limit).is_err());
                prop_assert!(window.clone().try_acquire(earliest, amount, limit).is_ok());
            }
        }
    }
}
