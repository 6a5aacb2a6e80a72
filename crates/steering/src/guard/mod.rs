//! Limits the weight changes that routing policies propose.
//!
//! From one routing table to the next, a site's traffic grows only as far as its free headroom, its
//! response times and the shift limit of its link allow; a closed site gets no traffic. Traffic
//! that may not move stays at its site. Traffic of a closed site that may not move yet isn't placed
//! at all.

mod ramp;
mod state;
mod weight_step;

pub use ramp::{GrowthLimit, PROBE_PER_S, RampInput, growth_limit};
pub use state::{Damping, Guard, GuardInput, GuardedFlow, GuardedSite};
pub use weight_step::{FlowProposal, Limits, allowed_weights};
