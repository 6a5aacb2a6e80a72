//! Simulates rollouts in fleets of several sizes: the exposure to a bad version, the duration for
//! a sound one and the overhead; and compares two statistical tests.
//!
//! Prints the tables of `docs/measurements/rollouts.md`.

#![allow(clippy::print_stdout, reason = "a bench target prints its tables")]

mod methods;
#[path = "../../tests/rollout_fleet/mod.rs"]
mod rollout_fleet;

use rollout_fleet::{Outcome, Setup, Version, fault_free, simulate};
use std::time::Duration;
use steering::deployment::RolloutOutcome;

/// Fleet sizes: the two of the new customers, one of a parameter sweep, and the whole fleet.
const SIZES: [usize; 4] = [26, 88, 300, 985];

/// Simulations of each kind.
const SEEDS: u64 = 5;

const VERSIONS: [(&str, Version); 6] = [
    ("sound", Version::Sound),
    ("fails 0.4", Version::Fails(0.4)),
    ("fails 0.1", Version::Fails(0.1)),
    ("fails 0.4, later", Version::FailsAfter(0.02, 0.4)),
    ("fails 0.4 on a route", Version::FailsOnOneRoute(0.4)),
    ("4 times slower", Version::Slow(4.0)),
];

fn main() {
    println!(
        "| instances | version | ended | after | exposed | late | kB a second | messages received a second |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for instances in SIZES {
        for (name, version) in VERSIONS {
            let outcomes: Vec<Outcome> = (0..SEEDS)
                .map(|seed| {
                    simulate(Setup { per_s: 1_300.0, ..fault_free(instances, version, seed) })
                })
                .collect();
            println!("{}", row(instances, name, &outcomes));
        }
    }
    methods::compare();
}

/// Formats the worst results of several simulations.
fn row(instances: usize, name: &str, outcomes: &[Outcome]) -> String {
    let ends = |wanted| {
        outcomes
            .iter()
            .filter(|outcome| outcome.ended.is_some_and(|(outcome, _)| outcome == wanted))
            .count()
    };
    let ended = format!(
        "{} in, {} back",
        ends(RolloutOutcome::Succeeded),
        ends(RolloutOutcome::RolledBack)
    );
    let worst = |figure: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(figure).fold(0.0, f64::max);
    let after = worst(&|outcome| outcome.ended.map_or(f64::INFINITY, |(_, at)| at.as_secs_f64()));
    let exposed = worst(&|outcome| outcome.exposed as f64 / outcome.requests.max(1) as f64);
    let overrun = worst(&|outcome| outcome.overrun.as_secs_f64());
    let seconds = Duration::from_secs(22).as_secs_f64();
    let kb = worst(&|outcome| outcome.bytes as f64 / 1_000.0 / seconds / instances as f64);
    let received_per_s = worst(&|outcome| outcome.max_received_per_s as f64);
    format!(
        "| {instances} | {name} | {ended} | {after:.1} s | {exposed:.3} | {overrun:.1} s | {kb:.2} | {received_per_s:.0} |"
    )
}
