//! Quotas over a whole fleet: never exceeded under faults, with few refusals below them.

mod quota_fleet;

use quota_fleet::{Fault, Load, Outcome, SECOND, Setup, bound, simulate};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use steering::Time;
use steering::deployment::Quota;
use steering::quota::{EvenLimiter, Fleet, Limiter, MemberId, PooledLimiter};

/// Number of random schedules that are simulated.
const SCHEDULES: u64 = 2_000;

fn pooled(own: MemberId, started_ms: u64) -> Box<dyn Limiter> {
    Box::new(PooledLimiter::new(own, started_ms))
}

fn even(own: MemberId, _: u64) -> Box<dyn Limiter> {
    Box::new(EvenLimiter::new(own))
}

fn quota(rate_per_s: f64) -> Quota {
    Quota { rate_per_s, burst: rate_per_s }
}

/// Three regions of four instances, and customers that send 1 / 1.6 of their quota.
fn fault_free(rates_per_s: &[f64], seed: u64) -> Setup {
    let load = |rate: &f64| Load {
        quota: quota(*rate),
        requests_per_s: rate / 1.6,
        regions: vec![1.0, 1.0, 1.0],
        is_disallowed_region: false,
    };
    Setup {
        regions: 3,
        nodes_per_region: 4,
        loads: rates_per_s.iter().map(load).collect(),
        faults: Vec::new(),
        loss: 0.001,
        delay: (0.0, Duration::ZERO),
        counts_reachable_only: false,
        length: 20 * SECOND,
        seed,
    }
}

/// A random schedule of faults.
fn random(seed: u64) -> Setup {
    let mut random = SmallRng::seed_from_u64(seed);
    let rates = [2.0, 20.0, 60.0];
    let mut setup = fault_free(&rates, seed);
    setup.length = 12 * SECOND;
    setup.loss = random.random_range(0.0..0.1);
    setup.delay = (random.random_range(0.0..0.1), Duration::from_millis(800));
    let count = setup.regions * setup.nodes_per_region;
    let time = |random: &mut SmallRng, most_ms: u64| {
        Duration::from_millis(random.random_range(200..most_ms))
    };
    for _ in 0..random.random_range(2..7) {
        let some = random.random_range(1..=count);
        let nodes: Vec<usize> = match random.random_range(0..3) {
            // Those of one region, or any.
            0 => (0..count).filter(|node| node % setup.regions == 0).collect(),
            _ => sample(&mut random, count, some).into_vec(),
        };
        let load = random.random_range(0..rates.len());
        let fault = match random.random_range(0..7) {
            0 => Fault::Kill { nodes, down: time(&mut random, 3_000) },
            1 => Fault::Suspend { nodes, time: time(&mut random, 4_000) },
            2 | 3 => {
                let one_way = random.random_bool(0.5);
                Fault::Cut { nodes, one_way, time: time(&mut random, 9_000) }
            }
            4 => Fault::Demand { load, factor: random.random_range(2.0..10.0) },
            5 => Fault::Shift {
                load,
                regions: (0..3).map(|_| random.random_range(0.0..1.0)).collect(),
            },
            _ => Fault::Quota { load, quota: quota(rates[load] * random.random_range(0.1..1.0)) },
        };
        setup.faults.push((time(&mut random, 11_000), fault));
    }
    // Load beyond the quota is needed to exercise the bound.
    let hot = random.random_range(0..rates.len());
    let from = time(&mut random, 4_000);
    setup.faults.push((from, Fault::Demand { load: hot, factor: random.random_range(5.0..10.0) }));
    setup
}

/// The maximum number of requests beyond the bound, over all customers.
fn excess(outcome: &Outcome) -> f64 {
    outcome.excess.iter().copied().fold(f64::NEG_INFINITY, f64::max)
}

/// Simulates random schedules on all cores; returns the seeds that exceed the bound, and by how
/// much.
fn exceeding(
    seeds: std::ops::Range<u64>,
    simulate_one: impl Fn(u64) -> Outcome + Sync,
) -> Vec<(u64, f64)> {
    let threads = std::thread::available_parallelism().map_or(4, usize::from) as u64;
    let of_thread = |thread: u64| -> Vec<(u64, f64)> {
        let seeds = seeds.clone().filter(|seed| seed % threads == thread);
        let results = seeds.map(|seed| (seed, excess(&simulate_one(seed))));
        results.filter(|(_, excess)| *excess > 0.0).collect()
    };
    std::thread::scope(|scope| {
        let handles: Vec<_> =
            (0..threads).map(|thread| scope.spawn(move || of_thread(thread))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("the simulation ends")).collect()
    })
}

#[test]
fn no_schedule_exceeds_the_bound() {
    let exceeding = exceeding(0..SCHEDULES, |seed| simulate(&random(seed), pooled));
    assert!(exceeding.is_empty(), "seeds and requests beyond the bound: {exceeding:?}");
}

#[test]
fn counting_only_reachable_instances_exceeds_the_bound() {
    let reachable_only =
        |seed| simulate(&Setup { counts_reachable_only: true, ..random(seed) }, even);
    assert!(!exceeding(0..200, reachable_only).is_empty(), "the schedules never exceed the bound");
}

#[test]
fn few_requests_below_the_quota_are_refused_without_faults() {
    let outcome = simulate(&fault_free(&[2.0, 5.0, 20.0, 80.0, 300.0], 1), pooled);
    let refused_fraction = outcome.refused as f64 / outcome.entitled as f64;
    assert!(
        refused_fraction < 0.002,
        "{} of {} were refused: {:?}",
        outcome.refused,
        outcome.entitled,
        outcome.entitled_by_customer
    );
}

#[test]
fn a_small_customer_whose_callers_are_all_in_one_region_is_served() {
    let mut setup = fault_free(&[5.0, 20.0, 80.0], 2);
    setup.loads.iter_mut().for_each(|load| load.regions = vec![0.0, 1.0, 0.0]);
    let outcome = simulate(&setup, pooled);
    for (entitled, refused) in &outcome.entitled_by_customer {
        assert!((*refused as f64) < 0.03 * *entitled as f64, "{:?}", outcome.entitled_by_customer);
    }
}

#[test]
fn a_customer_far_beyond_its_quota_gets_its_full_quota() {
    let mut setup = fault_free(&[10.0, 80.0], 3);
    for load in 0..2 {
        setup.faults.push((3 * SECOND, Fault::Demand { load, factor: 9.0 }));
    }
    let outcome = simulate(&setup, pooled);
    assert!(excess(&outcome) <= 0.0, "{:?}", outcome.excess);
    for (ran, load) in outcome.ran.iter().zip(&setup.loads) {
        let final_rate =
            ran.iter().filter(|at| at.since(ran[0]) > 10 * SECOND).count() as f64 / 10.0;
        let rate = load.quota.rate_per_s;
        assert!(final_rate > 0.9 * rate, "{final_rate} per second of {rate}");
    }
}

#[test]
fn with_half_of_the_instances_down_half_of_the_quota_remains() {
    let mut setup = fault_free(&[20.0, 80.0], 4);
    let nodes = (0..12).filter(|node| node % 2 == 0).collect();
    setup.faults.push((5 * SECOND, Fault::Kill { nodes, down: 60 * SECOND }));
    let outcome = simulate(&setup, pooled);
    for (ran, load) in outcome.ran.iter().zip(&setup.loads) {
        let late_rate = ran.iter().filter(|at| at.since(ran[0]) > 12 * SECOND).count() as f64 / 8.0;
        assert!(
            late_rate > 0.45 * load.quota.rate_per_s,
            "{late_rate} per second of {:?}",
            load.quota
        );
    }
}

#[test]
fn a_lowered_quota_takes_effect_soon() {
    let mut setup = fault_free(&[80.0], 5);
    setup.faults.push((4 * SECOND, Fault::Quota { load: 0, quota: quota(8.0) }));
    let outcome = simulate(&setup, pooled);
    let late_count =
        outcome.ran[0].iter().filter(|at| at.since(outcome.ran[0][0]) > 12 * SECOND).count();
    assert!((late_count as f64) < bound(quota(8.0)) / 5.0 * 9.0, "{late_count} in 8 s");
    assert!(late_count > 8 * 7, "{late_count} in 8 s");
}

#[test]
fn a_customer_beyond_its_quota_in_one_region_gets_what_other_regions_do_not_need() {
    let mut setup = fault_free(&[10.0, 66.0], 6);
    setup.nodes_per_region = 24;
    setup.loads.iter_mut().for_each(|load| load.regions = vec![0.0, 1.0, 0.0]);
    for load in 0..2 {
        setup.faults.push((3 * SECOND, Fault::Demand { load, factor: 3.0 }));
    }
    let outcome = simulate(&setup, pooled);
    for (ran, load) in outcome.ran.iter().zip(&setup.loads) {
        let final_rate =
            ran.iter().filter(|at| at.since(ran[0]) > 10 * SECOND).count() as f64 / 10.0;
        let rate = load.quota.rate_per_s;
        assert!(final_rate > 0.9 * rate, "{final_rate} per second of {rate}");
    }
}

/// Requests per second of other customers in a region.
const OTHERS_PER_S: f64 = 310.0;

/// Maximum fraction of a region's requests that may move to another region within 2 s.
const MOST_SHIFT: f64 = 0.15;

#[test]
fn a_large_customer_of_another_region_that_becomes_hot_shifts_few_requests() {
    let mut setup = fault_free(&[500.0], 7);
    setup.nodes_per_region = 24;
    setup.loads[0].is_disallowed_region = true;
    // One ninth of a region's requests, then all that its quota allows.
    setup.loads[0].requests_per_s = 3.0 * OTHERS_PER_S / 8.0;
    setup.faults.push((5 * SECOND, Fault::Demand { load: 0, factor: 20.0 }));
    let outcome = simulate(&setup, pooled);
    let first = outcome.ran[0][0];
    let fraction = |from_ms: u64| {
        let window = Duration::from_millis(from_ms)..Duration::from_millis(from_ms + 2_000);
        let ran = outcome.ran[0].iter().filter(|at| window.contains(&at.since(first)));
        // All regions get equal parts.
        let requests_per_s = ran.count() as f64 / 2.0 / 3.0;
        requests_per_s / (requests_per_s + OTHERS_PER_S)
    };
    let shifts =
        (0..160).map(|step| step * 100).map(|at| (fraction(at + 2_000) - fraction(at)).abs());
    let worst = shifts.fold(0.0, f64::max);
    assert!(worst < MOST_SHIFT, "{worst}");
    assert!(fraction(14_000) > 0.3, "it gets its quota: {}", fraction(14_000));
}

#[test]
fn customers_of_another_region_are_served_without_faults() {
    let mut setup = fault_free(&[2.0, 20.0, 200.0], 8);
    setup.loads.iter_mut().for_each(|load| load.is_disallowed_region = true);
    let outcome = simulate(&setup, pooled);
    for (entitled, refused) in &outcome.entitled_by_customer {
        assert!((*refused as f64) < 0.01 * *entitled as f64, "{:?}", outcome.entitled_by_customer);
    }
}

#[test]
fn without_a_quota_no_datagrams_are_sent_and_no_step_is_due() {
    let own = MemberId::from_name("one");
    let other = MemberId::from_name("two");
    let mut limiter = PooledLimiter::new(own, 1);
    let now = Time::from_ms(1_000_000);
    limiter.step(now);
    limiter.set_fleet(
        Fleet { own, region_members: vec![own, other], other_regions: Vec::new(), size: 2 },
        now,
    );
    limiter.step(now + SECOND);
    assert!(limiter.take_datagrams().is_empty());
    assert_eq!(limiter.due(), Time::from_ns(u64::MAX));
}
