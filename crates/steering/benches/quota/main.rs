//! Compares ways to hold quotas over a fleet, in simulated time, as a table.
//!
//! `cargo bench -p steering --bench quota`
#![allow(clippy::print_stdout, reason = "the table is what this program is for")]

#[path = "../../tests/quota_fleet/mod.rs"]
mod quota_fleet;

use quota_fleet::{Fault, Load, Make, Outcome, SECOND, Setup, play};
use std::time::Duration;
use steering::deployment::Quota;
use steering::quota::{EvenLimiter, Limiter, MemberId, PooledLimiter, ProportionalLimiter};

/// Requests a second of each instance.
const PER_INSTANCE_PER_S: f64 = 27.0;

/// What a quota is, against what is usually sent.
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

/// A fleet of three regions whose customers are a few large and many small ones.
fn setup(instances: usize, customers: usize, seed: u64) -> Setup {
    let weights: Vec<f64> = (0..customers).map(|rank| 1.0 / (rank as f64 + 2.0)).collect();
    let all: f64 = weights.iter().sum();
    let load = |weight: &f64| {
        let per_s = PER_INSTANCE_PER_S * instances as f64 * weight / all;
        let rate_per_s = per_s * QUOTA_OF_USUAL;
        let quota = Quota { rate_per_s, burst: rate_per_s };
        Load { quota, per_s, regions: vec![1.0, 1.0, 1.0], is_steady: false }
    };
    Setup {
        regions: 3,
        nodes_a_region: instances / 3,
        loads: weights.iter().map(load).collect(),
        faults: Vec::new(),
        loss: 0.001,
        late: (0.01, Duration::from_millis(200)),
        counts_living_only: false,
        length: 15 * SECOND,
        seed,
    }
}

/// Days that the ways are compared on.
fn days(instances: usize, customers: usize, seed: u64) -> [(&'static str, Setup); 5] {
    let calm = setup(instances, customers, seed);
    let with = |faults: Vec<Fault>| {
        let faults = faults.into_iter().map(|fault| (5 * SECOND, fault)).collect();
        Setup { faults, ..calm.clone() }
    };
    let loads = 0..customers;
    let hot: Vec<Fault> = [0, customers / 2].map(|load| Fault::Demand { load, times: 9.0 }).into();
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

fn row(instances: usize, customers: usize, day: &str, way: &str, outcomes: &[Outcome]) {
    let excess = outcomes.iter().flat_map(|it| &it.excess).copied().fold(f64::MIN, f64::max);
    let sum = |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>() as f64;
    let refused = 100.0 * sum(|it| it.refused) / sum(|it| it.owed);
    let requests = sum(|it| it.requests);
    let bytes = sum(|it| it.bytes) / requests;
    let spent_us = outcomes.iter().map(|it| it.spent).sum::<Duration>().as_secs_f64() * 1e6;
    let mut waited: Vec<f64> = outcomes.iter().flat_map(|it| it.waited_ms.clone()).collect();
    waited.sort_by(f64::total_cmp);
    let p99 = waited.get(waited.len() * 99 / 100).copied().unwrap_or(0.0);
    let asked = 100.0 * waited.len() as f64 / requests;
    println!(
        "| {instances} | {customers} | {day} | {way} | {excess:.0} | {refused:.2} | {asked:.0} | \
         {p99:.0} | {bytes:.0} | {:.1} |",
        spent_us / requests
    );
}

fn main() {
    println!(
        "| instances | customers | day | way | requests beyond the bound | % refused below the quota | \
         % that asked another | p99 wait, ms | bytes a request | µs a request |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let ways: [(&str, Make); 3] =
        [("even", even), ("proportional", proportional), ("pooled", pooled)];
    for (instances, customers) in [(12, 10), (72, 10), (72, 79), (72, 1_000), (300, 79)] {
        for day in 0..5 {
            for (way, make) in ways {
                let play_one = |seed| {
                    let (_, setup) = &days(instances, customers, seed)[day];
                    play(setup, make)
                };
                let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
                    let handles: Vec<_> =
                        (1..=SEEDS).map(|seed| scope.spawn(move || play_one(seed))).collect();
                    handles.into_iter().map(|it| it.join().expect("the play ends")).collect()
                });
                let name = days(instances, customers, 1)[day].0;
                row(instances, customers, name, way, &outcomes);
            }
        }
    }
}
