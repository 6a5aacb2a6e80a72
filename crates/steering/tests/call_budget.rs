//! The budget of calls: its rate, its pauses, and many instances after an outage.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;
use steering::Time;
use steering::call_budget::{CallBudget, CallEnd, Refusal, rate_per_s};

const RATE_PER_S: f64 = 4.0;

/// Calls that a full budget allows at once, as the module's constants give it.
const BURST: f64 = 8.0;

fn opened(now: Time, random: &mut StdRng) -> CallBudget {
    let mut budget = CallBudget::new(now, RATE_PER_S);
    while !budget.is_open() {
        let permit = budget.ask(now).expect("closed");
        budget.ended(now, permit, CallEnd::Failed, random);
    }
    budget
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_window_has_more_calls_than_rate_and_burst(
        pauses_ms in prop::collection::vec(0_u64..400, 1..150),
    ) {
        let mut now = Time::from_ms(0);
        let mut budget = CallBudget::new(now, RATE_PER_S);
        let mut calls = Vec::new();

        for pause_ms in pauses_ms {
            now += Duration::from_millis(pause_ms);
            if let Ok(permit) = budget.ask(now) {
                calls.push(now + permit.wait);
            }
        }

        for (first, start) in calls.iter().enumerate() {
            for (last, end) in calls.iter().enumerate().skip(first) {
                let allowed = BURST + RATE_PER_S * end.since(*start).as_secs_f64();
                prop_assert!((last - first + 1) as f64 <= allowed + 1e-6);
            }
        }
    }

    #[test]
    fn an_open_circuit_lets_one_call_through_at_a_time(
        events in prop::collection::vec((0_u64..4_000, 0_usize..3), 1..100),
        seed in any::<u64>(),
    ) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Time::from_ms(0);
        let mut budget = opened(now, &mut random);
        let mut probe = None;

        for (pause_ms, end) in events {
            now += Duration::from_millis(pause_ms);
            match (probe.take(), budget.ask(now)) {
                (Some(_), Ok(_)) => prop_assert!(false, "two probes at once"),
                (Some(permit), Err(refusal)) => {
                    prop_assert_eq!(refusal, Refusal::CircuitOpen);
                    let end = if end == 0 { CallEnd::Abandoned } else { CallEnd::Failed };
                    budget.ended(now, permit, end, &mut random);
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
fn an_answer_from_before_the_outage_does_not_close_the_circuit() {
    let now = Time::from_ms(0);
    let mut random = StdRng::seed_from_u64(1);
    let mut budget = CallBudget::new(now, RATE_PER_S);
    let old = budget.ask(now).expect("closed");
    while !budget.is_open() {
        let permit = budget.ask(now).expect("closed");
        budget.ended(now, permit, CallEnd::Failed, &mut random);
    }

    budget.ended(now, old, CallEnd::Answered, &mut random);

    assert!(budget.is_open());
}

#[test]
fn pauses_grow_and_stay_bounded() {
    let mut now = Time::from_ms(0);
    let mut random = StdRng::seed_from_u64(1);
    let mut budget = opened(now, &mut random);
    let mut probes = 0_u32;

    let end = now + Duration::from_secs(3_600);
    while now < end {
        now += Duration::from_millis(10);
        if let Ok(permit) = budget.ask(now) {
            probes += 1;
            budget.ended(now, permit, CallEnd::Failed, &mut random);
        }
    }

    // Uniform pauses of up to 15 s: 480 are expected in an hour.
    assert!((400..600).contains(&probes), "{probes} probes");
}

#[test]
fn the_whole_fleet_stays_below_what_the_platform_takes() {
    for (instances, watchers) in [(12, 12), (300, 60), (3_900, 60)] {
        let ordinary = rate_per_s(instances, false) * (instances - watchers) as f64;
        let watching = rate_per_s(instances, true) * watchers as f64;

        assert!(ordinary + watching < 2_000.0, "{instances} instances");
    }
}
