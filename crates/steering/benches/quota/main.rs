//! Compares limiters over a simulated fleet, as a table.
//!
//! `cargo bench -p steering --bench quota`
#![allow(clippy::print_stdout, reason = "the table is what this program is for")]

#[path = "../../tests/quota_fleet/mod.rs"]
mod quota_fleet;

use quota_fleet::{Fault, Load, MakeLimiter, Outcome, SECOND, Setup, simulate};
use std::time::Duration;
use steering::deployment::Quota;
use steering::quota::{EvenLimiter, Limiter, MemberId, PooledLimiter, ProportionalLimiter};

/// Requests per second of each instance.
const PER_INSTANCE_PER_S: f64 = 27.0;

/// Ratio of a quota to the usual load.
const QUOTA_OF_USUAL: f64 = 1.6;

const SEEDS: u64 = 3;

fn even(own: MemberId, _: u64) -> Box<dyn Limiter> {
    Box::new(EvenLimiter::new(own))
}

fn proportional(own: MemberId, _: u64) -> Box<dyn Limiter> {
    Box::new(ProportionalLimiter::new(own))
}

fn pooled(own: MemberId, started_ms: u64) -> Box<dyn Limiter> {
    Box::new(PooledLimiter::new(own, started_ms))
}

/// A fleet of three regions with a few large and many small customers.
fn setup(instances: usize, customers: usize, seed: u64) -> Setup {
    let weights: Vec<f64> = (0..customers).map(|rank| 1.0 / (rank as f64 + 2.0)).collect();
    let all: f64 = weights.iter().sum();
    let load = |weight: &f64| {
        let requests_per_s = PER_INSTANCE_PER_S * instances as f64 * weight / all;
        let rate_per_s = requests_per_s * QUOTA_OF_USUAL;
        let quota = Quota { rate_per_s, burst: rate_per_s };
        Load { quota, requests_per_s, regions: vec![1.0, 1.0, 1.0], is_disallowed_region: false }
    };
    Setup {
        regions: 3,
        nodes_per_region: instances / 3,
        loads: weights.iter().map(load).collect(),
        faults: Vec::new(),
        loss: 0.001,
        delay: (0.01, Duration::from_millis(200)),
        counts_reachable_only: false,
        length: 15 * SECOND,
        seed,
    }
}

/// Scenarios for the comparison.
fn scenarios(instances: usize, customers: usize, seed: u64) -> [(&'static str, Setup); 5] {
    let calm = setup(instances, customers, seed);
    let with = |faults: Vec<Fault>| {
        let faults = faults.into_iter().map(|fault| (5 * SECOND, fault)).collect();
        Setup { faults, ..calm.clone() }
    };
    let loads = 0..customers;
    let hot: Vec<Fault> = [0, customers / 2].map(|load| Fault::Demand { load, factor: 9.0 }).into();
    let shift = loads.map(|load| Fault::Shift { load, regions: vec![0.3, 1.0, 1.7] }).collect();
    let region: Vec<usize> = (0..instances).filter(|node| node % 3 == 0).collect();
    let half: Vec<usize> = (0..instances).filter(|node| node % 2 == 0).collect();
    let cut = Fault::Cut { nodes: region, one_way: false, time: 9 * SECOND };
    let kill = Fault::Kill { nodes: half, down: 2 * SECOND };
    [
        ("calm", calm.clone()),
        ("shift", with(shift)),
        ("hot", with(hot.clone())),
        ("hot, region cut", with([hot.clone(), vec![cut]].concat())),
        ("hot, half killed", with([hot, vec![kill]].concat())),
    ]
}

fn row(instances: usize, customers: usize, scenario: &str, limiter: &str, outcomes: &[Outcome]) {
    let excess =
        outcomes.iter().flat_map(|outcome| &outcome.excess).copied().fold(f64::MIN, f64::max);
    let sum = |figure: fn(&Outcome) -> u64| outcomes.iter().map(figure).sum::<u64>() as f64;
    let refused = 100.0 * sum(|outcome| outcome.refused) / sum(|outcome| outcome.entitled);
    let requests = sum(|outcome| outcome.requests);
    let bytes = sum(|outcome| outcome.bytes) / requests;
    let cpu_us =
        outcomes.iter().map(|outcome| outcome.cpu_time).sum::<Duration>().as_secs_f64() * 1e6;
    let mut waited: Vec<f64> =
        outcomes.iter().flat_map(|outcome| outcome.waited_ms.clone()).collect();
    waited.sort_by(f64::total_cmp);
    let p99 = waited.get(waited.len() * 99 / 100).copied().unwrap_or(0.0);
    let asked = 100.0 * waited.len() as f64 / requests;
    println!(
        "| {instances} | {customers} | {scenario} | {limiter} | {excess:.0} | {refused:.2} | {asked:.0} | \
         {p99:.0} | {bytes:.0} | {:.1} |",
        cpu_us / requests
    );
}

fn main() {
    println!(
        "| instances | customers | scenario | limiter | requests beyond the bound | % refused below the quota | \
         % that asked another | p99 wait, ms | bytes a request | µs a request |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let limiters: [(&str, MakeLimiter); 3] =
        [("even", even), ("proportional", proportional), ("pooled", pooled)];
    for (instances, customers) in [(12, 10), (72, 10), (72, 79), (72, 1_000), (300, 79)] {
        for scenario in 0..5 {
            for (limiter, make_limiter) in limiters {
                let simulate_one = |seed| {
                    let (_, setup) = &scenarios(instances, customers, seed)[scenario];
                    simulate(setup, make_limiter)
                };
                let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
                    let handles: Vec<_> =
                        (1..=SEEDS).map(|seed| scope.spawn(move || simulate_one(seed))).collect();
                    handles
                        .into_iter()
                        .map(|handle| handle.join().expect("the simulation ends"))
                        .collect()
                });
                let name = scenarios(instances, customers, 1)[scenario].0;
                row(instances, customers, name, limiter, &outcomes);
            }
        }
    }
}
