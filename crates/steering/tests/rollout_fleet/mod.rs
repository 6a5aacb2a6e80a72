//! Simulates a fleet during a rollout: the real tables, a network and a store.
#![allow(dead_code, unused_imports, reason = "the tests and the bench target use different parts")]

mod node;
mod outcome;
mod progress;
mod requests;
mod setup;
mod world;

pub(crate) use outcome::{EXPOSURE, Outcome};
pub(crate) use setup::{Defect, Fault, Setup, Version, fault_free};

use outcome::ROLLBACK;
use std::time::Duration;
use world::{STEP, STEPS_PER_S, World};

/// Simulates a rollout, and some seconds beyond its deadline.
pub(crate) fn simulate(setup: Setup) -> Outcome {
    let end = setup.duration + ROLLBACK + Duration::from_secs(3);
    let steps = (end.as_secs_f64() * STEPS_PER_S as f64) as u64;
    let mut world = World::new(setup);
    for step in 0..steps {
        world.step(STEP * u32::try_from(step).expect("the step number fits"));
        if step % STEPS_PER_S == 0 {
            let most = world.nodes.iter().map(|node| node.received).max().unwrap_or(0);
            world.outcome.max_received_per_s = world.outcome.max_received_per_s.max(most);
            world.nodes.iter_mut().for_each(|node| node.received = 0);
        }
    }
    world.outcome
}
