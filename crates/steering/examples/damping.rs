//! Prints how steadily a policy with lagging figures uses two sites, with and without damping.

#![allow(clippy::print_stdout, reason = "it prints a measurement")]

#[path = "../tests/common/queue_model.rs"]
mod queue_model;

use steering::guard::Damping;
use steering::policy::Program;

const LEAST_LOADED: &str = include_str!("../../../examples/policies/least-loaded.rhai");

fn main() {
    let program = Program::compile(LEAST_LOADED).expect("policy");
    println!("| lag | damping | mean change a second | overflow |");
    println!("|---|---|---|---|");
    for lag_s in [1, 2, 4, 8] {
        for damping in [Damping::Off, Damping::On] {
            let steadiness = queue_model::run(&program, lag_s, damping);
            let (change, overflow) = (steadiness.mean_change, steadiness.overflow_share);
            let (change, overflow) = (change * 100.0, overflow * 100.0);
            println!("| {lag_s} s | {damping:?} | {change:.2}% | {overflow:.2}% |");
        }
    }
}
