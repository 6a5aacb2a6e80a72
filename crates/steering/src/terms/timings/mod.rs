//! Timings that follow from the terms of a deployment, each derived in one place.
//!
//! Each timing has a value that suits the usual terms.  Terms that are tighter shorten it in
//! proportion, down to what a network between regions permits; only timings that save calls to the
//! store grow with looser terms.  A term that is not agreed changes nothing.

mod cold_start;
mod connections;
mod liveness;
mod propagation;
mod region_shift;
mod tightness;
mod watches;

pub(super) use cold_start::MAX_SENDERS;
pub use cold_start::SenderLimits;
pub use connections::ConnectionTimings;
pub(super) use liveness::MIN_RECONNECTION;
pub use liveness::{HEARTBEAT_INTERVAL, LOST_AFTER, LivenessTimings};
pub use propagation::PropagationTimings;
pub use region_shift::ShiftLimits;
pub use watches::{WaitRange, WatchTimings};

use super::Terms;

/// All timings and limits that are derived from terms; the defaults are those of no terms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timings {
    /// How changes reach all instances.
    pub propagation: PropagationTimings,
    /// How watches on the store wait.
    pub watches: WatchTimings,
    /// How instances detect that others are lost.
    pub liveness: LivenessTimings,
    /// How connections detect that the network is silent.
    pub connections: ConnectionTimings,
    /// How much one instance sends to a cold backend server.
    pub cold_start: SenderLimits,
    /// How many requests change their region.
    pub region_shift: ShiftLimits,
}

impl From<&Terms> for Timings {
    fn from(terms: &Terms) -> Self {
        Self {
            propagation: PropagationTimings::from(&terms.propagation),
            watches: WatchTimings::from(&terms.propagation),
            liveness: LivenessTimings::new(terms.reconnection),
            connections: ConnectionTimings::new(terms.reconnection),
            cold_start: SenderLimits::from(&terms.cold_start),
            region_shift: ShiftLimits::from(terms),
        }
    }
}
