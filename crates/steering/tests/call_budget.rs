//! The call budget: rate limit, circuit breaker and the total rate of all instances.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;
use steering::Time;
use steering::call_budget::{CallBudget, CallEnd, Refusal, rate_per_s};

const RATE_PER_S: f64 = 4.0;

/// Calls that a full budget allows at once: two seconds of the rate.
const BURST_CALLS: f64 = 8.0;

fn budget_with_open_circuit(now: Time, random: &mut StdRng) -> CallBudget {
    let mut budget = CallBudget::new(now, RATE_PER_S);
    while !budget.is_circuit_open() {
        let permit = budget.acquire(now).expect("closed");
        budget.release(now, permit, CallEnd::Failed, random);
    }
    budget
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn calls_in_any_window_stay_within_rate_and_burst(
        intervals_ms in prop::collection::vec(0_u64..400, 1..150),
    ) {
        let mut now = Time::from_ms(0);
        let mut budget = CallBudget::new(now, RATE_PER_S);
        let mut calls = Vec::new();

        for interval_ms in intervals_ms {
            now += Duration::from_millis(interval_ms);
            if let Ok(permit) = budget.acquire(now) {
                calls.push(now + permit.wait);
            }
        }

        for (first, start) in calls.iter().enumerate() {
            for (last, end) in calls.iter().enumerate().skip(first) {
                let allowed = BURST_CALLS + RATE_PER_S * end.since(*start).as_secs_f64();
                prop_assert!((last - first + 1) as f64 <= allowed + 1e-6);
            }
        }
    }

    #[test]
    fn an_open_circuit_allows_one_probe_at_a_time(
        events in prop::collection::vec((0_u64..4_000, 0_usize..3), 1..100),
        seed in any::<u64>(),
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Time::from_ms(0);
        let mut budget = budget_with_open_circuit(now, &mut random);
        let mut probe = None;

        for (interval_ms, end) in events {
            now += Duration::from_millis(interval_ms);
            match (probe.take(), budget.acquire(now)) {
                (Some(_), Ok(_)) => prop_assert!(false, "two concurrent probes"),
                (Some(permit), Err(refusal)) => {
                    prop_assert_eq!(refusal, Refusal::CircuitOpen);
                    let end = if end == 0 { CallEnd::Abandoned } else { CallEnd::Failed };
                    budget.release(now, permit, end, &mut random);
                }
                (None, Ok(permit)) => {
                    prop_assert!(permit.is_probe);
                    probe = Some(permit);
                }
                (None, Err(refusal)) => prop_assert_eq!(refusal, Refusal::CircuitOpen),
            }
        }
    }
}

#[test]
fn an_answer_to_a_call_made_before_the_outage_does_not_close_the_circuit() {
    let now = Time::from_ms(0);
    let mut random = StdRng::seed_from_u64(1);
    let mut budget = CallBudget::new(now, RATE_PER_S);
    let old = budget.acquire(now).expect("closed");
    while !budget.is_circuit_open() {
        let permit = budget.acquire(now).expect("closed");
        budget.release(now, permit, CallEnd::Failed, &mut random);
    }

    budget.release(now, old, CallEnd::Answered, &mut random);

    assert!(budget.is_circuit_open());
}

#[test]
fn backoff_is_bounded() {
    let mut now = Time::from_ms(0);
    let mut random = StdRng::seed_from_u64(1);
    let mut budget = budget_with_open_circuit(now, &mut random);
    let mut probes = 0_u32;

    let end = now + Duration::from_secs(3_600);
    while now < end {
        now += Duration::from_millis(10);
        if let Ok(permit) = budget.acquire(now) {
            probes += 1;
            budget.release(now, permit, CallEnd::Failed, &mut random);
        }
    }

    // With uniform backoffs of up to 15 s, 480 probes are expected in an hour.
    assert!((400..600).contains(&probes), "{probes} probes");
}

#[test]
fn all_instances_together_stay_below_the_limit_of_the_platform() {
    for (instances, watchers) in [(12, 12), (300, 60), (3_900, 60)] {
        let ordinary = rate_per_s(instances, false) * (instances - watchers) as f64;
        let watching = rate_per_s(instances, true) * watchers as f64;

        assert!(ordinary + watching < 2_000.0, "{instances} instances");
    }
}
