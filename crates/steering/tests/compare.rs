//! Verdicts on simulated arms with a known difference, over many seeds.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steering::compare::{Comparison, Finding, LatencyHistogram, Period, Verdict, compare};

const SEEDS: u64 = 200;
const PERIODS: usize = 30;
const REQUESTS_PER_PERIOD: usize = 150;

/// Parameters of the simulated arms.
#[derive(Clone, Copy)]
struct Arms {
    /// Factor by which the latencies of the second arm are longer.
    latency_factor: f64,
    /// Fraction of the requests refused by the first arm and by the second.
    refused_share: [f64; 2],
    /// Spread of the latencies from one period to the next, which is the same for both arms.
    shared_spread: f64,
}

const EQUAL: Arms = Arms { latency_factor: 1.0, refused_share: [0.01, 0.01], shared_spread: 0.0 };

fn normal(random: &mut SmallRng) -> f64 {
    let (radius, angle): (f64, f64) = (random.random_range(1e-12..1.0), random.random());
    (-2.0 * radius.ln()).sqrt() * (angle * std::f64::consts::TAU).cos()
}

fn period(random: &mut SmallRng, median_us: f64, refused_share: f64) -> Period {
    let mut period = Period::default();
    for _ in 0..REQUESTS_PER_PERIOD {
        match random.random_bool(refused_share) {
            true => period.refused += 1,
            false => period.latency.record(median_us * (0.5 * normal(random)).exp()),
        }
    }
    period
}

fn compare_arms(arms: Arms, seed: u64) -> Comparison {
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut base, mut trial) = (Vec::new(), Vec::new());
    for _ in 0..PERIODS {
        let median_us = 20_000.0 * (arms.shared_spread * normal(&mut random)).exp();
        base.push(period(&mut random, median_us, arms.refused_share[0]));
        trial.push(period(&mut random, median_us * arms.latency_factor, arms.refused_share[1]));
    }
    compare(&base, &trial, 1, seed)
}

/// Returns the number of seeds with the verdict.
fn count(arms: Arms, verdict: Verdict) -> u64 {
    (0..SEEDS).filter(|seed| compare_arms(arms, *seed).verdict == verdict).count() as u64
}

#[test]
fn equal_arms_show_no_difference_on_95_of_100_seeds() {
    let shown = count(EQUAL, Verdict::NoDifferenceShown);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn equal_arms_under_a_shared_varying_load_show_no_difference() {
    let shown = count(Arms { shared_spread: 0.5, ..EQUAL }, Verdict::NoDifferenceShown);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn arm_with_shorter_latencies_is_better() {
    let shown = count(Arms { latency_factor: 0.85, ..EQUAL }, Verdict::Better);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn arm_with_longer_latencies_is_worse() {
    let shown = count(Arms { latency_factor: 1.15, ..EQUAL }, Verdict::Worse);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn arm_that_refuses_more_is_worse() {
    let shown = count(Arms { refused_share: [0.01, 0.04], ..EQUAL }, Verdict::Worse);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn faster_arm_that_refuses_more_is_mixed() {
    let arms = Arms { latency_factor: 0.8, refused_share: [0.01, 0.08], ..EQUAL };

    let shown = count(arms, Verdict::Mixed);

    assert!(shown * 100 >= SEEDS * 95, "{shown} of {SEEDS}");
}

#[test]
fn too_few_periods_or_requests_give_no_finding() {
    let period_of_one = |latency_us: f64| {
        let mut period = Period::default();
        period.latency.record(latency_us);
        period
    };

    let few_requests =
        compare(&vec![period_of_one(1_000.0); 9], &vec![period_of_one(9_000.0); 9], 1, 1);
    let no_requests = compare(&[], &[], 1, 1);

    for comparison in [few_requests, no_requests] {
        assert_eq!(comparison.verdict, Verdict::NoDifferenceShown);
        let findings = comparison.measures.iter().map(|measure| measure.finding);
        assert!(findings.into_iter().all(|finding| finding == Finding::TooFew));
    }
}

#[test]
fn quantiles_are_within_a_bin_of_the_exact_ones() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut exact: Vec<f64> = (0..10_000).map(|_| 5_000.0 * normal(&mut random).exp()).collect();
    let mut histogram = LatencyHistogram::default();
    exact.iter().for_each(|latency_us| histogram.record(*latency_us));
    exact.sort_by(f64::total_cmp);

    for quantile in [0.01, 0.5, 0.9, 0.99, 0.999] {
        let expected_ms = exact[(quantile * exact.len() as f64) as usize] / 1_000.0;
        let found_ms = histogram.quantile_ms(quantile).expect("not empty");
        assert!((found_ms / expected_ms).ln().abs() < 0.09, "{quantile}: {found_ms} {expected_ms}");
    }
}
