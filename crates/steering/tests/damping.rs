//! Checks that damping prevents oscillation when figures lag by seconds.

#[path = "common/queue_model.rs"]
mod queue_model;

use queue_model::run;
use steering::guard::Damping;
use steering::policy::Program;

const LEAST_LOADED: &str = include_str!("../../../examples/policies/least-loaded.rhai");

#[test]
fn damping_steadies_a_policy_whose_figures_lag() {
    let program = Program::compile(LEAST_LOADED).expect("policy");
    for lag_s in [1, 2, 4, 8] {
        let damped = run(&program, lag_s, Damping::On);
        let undamped = run(&program, lag_s, Damping::Off);

        assert!(damped.mean_change < 0.02, "lag {lag_s} s: {damped:?} {undamped:?}");
        assert!(damped.mean_change <= undamped.mean_change, "{damped:?} {undamped:?}");
        assert!(damped.overflow_share <= undamped.overflow_share, "{damped:?} {undamped:?}");
    }
}
