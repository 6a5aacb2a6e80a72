//! Prints how much the traffic of two sites fluctuates under a policy whose reports lag, with and
//! without damping.

#![allow(clippy::print_stdout, reason = "it prints its results")]

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
            let fluctuation = queue_model::run(&program, lag_s, damping);
            let (change, overflow) = (fluctuation.mean_change, fluctuation.overflow_share);
            let (change, overflow) = (change * 100.0, overflow * 100.0);
            println!("| {lag_s} s | {damping:?} | {change:.2}% | {overflow:.2}% |");
        }
    }
}
