//! The guard between what a policy wishes and what is allowed.
//!
//! A policy's weights are wishes.  From one table to the next, the guard lets a site's traffic grow
//! only as far as its free headroom, its answer times and the shift limit of its link allow; a site
//! that is closed gets nothing.  Traffic that may not move stays where it was, and what was at a
//! closed site and may not move yet is not placed at all.

mod allow;
mod ramp;
mod state;

pub use allow::{FlowWish, Limits, allow};
pub use ramp::{GrowthLimit, PROBE_PER_S, RampInput, growth_limit};
pub use state::{Damping, Guard, GuardInput, GuardedFlow, GuardedSite};
