//! When an instance that has just started reads the platform's lists itself.
//!
//! If every instance read the lists, the bytes that the store sends at a start of the whole fleet
//! would grow with instances times backend servers, and no instance could serve until the store's
//! link has carried all of them.  So the first instances of each region begin at once, others
//! follow one by one while no peer has sent them the lists, and most learn the lists from the first
//! ones.

use super::peers::STARTUP_WATCHERS_PER_REGION;
use std::time::Duration;

/// Longest delay of an instance that can't tell who else starts, as in the first start of a whole
/// fleet.
const MAX_UNSURE_DELAY: Duration = Duration::from_millis(4000);

/// Steepness of the distribution of those delays.  Most delays are long, so that few of thousands
/// of instances begin before the first list has come and is passed on, and one of a few instances
/// still begins well before the longest delay.
const UNSURE_STEEPNESS: f64 = 7.0;

/// Time between two instances of a region that begin.
///
/// Five per second bound the load that the lists put on the store's link, however many instances
/// wait.
const START_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest and longest time after which an instance no longer waits for others, which may be
/// unreachable.
const MAX_REGISTERED_DELAY: [Duration; 2] =
    [Duration::from_millis(4000), Duration::from_millis(8000)];

/// What an instance that has just started knows of the registrations in the store.  A log line
/// writes the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationState {
    /// There is no other instance to learn from.
    None,
    /// The registrations lack this instance, so they may also lack those that start with it.
    Unsure,
    /// The registrations contain this instance.
    Registered,
}

/// Decides when an instance that has just started reads the platform's lists itself.
#[derive(Clone, Copy, Debug)]
pub struct BootstrapDelay {
    /// Position of this instance between the shortest and the longest delay, from 0 to 1.
    position: f64,
}

impl BootstrapDelay {
    /// An instance with this position between the shortest and the longest delay, drawn at random
    /// and clamped to `0.0..=1.0`.
    pub fn new(position: f64) -> Self {
        Self { position: position.clamp(0.0, 1.0) }
    }

    /// Time after the start at which the instance begins unless it has learned the lists from
    /// others by then; `rank` is the number of registered instances of its region that come before
    /// it.
    pub fn delay(&self, rank: usize, registration: RegistrationState) -> Duration {
        match registration {
            RegistrationState::None => Duration::ZERO,
            RegistrationState::Unsure => self.unsure_delay(),
            RegistrationState::Registered => {
                let queued = (rank + 1).saturating_sub(STARTUP_WATCHERS_PER_REGION);
                let steps = u32::try_from(queued).unwrap_or(u32::MAX);
                START_INTERVAL.saturating_mul(steps).min(self.max_registered_delay())
            }
        }
    }

    /// A delay from a truncated exponential distribution, so that few instances begin early however
    /// many there are.
    fn unsure_delay(&self) -> Duration {
        let grown = self.position * UNSURE_STEEPNESS.exp_m1();
        MAX_UNSURE_DELAY.mul_f64(grown.ln_1p() / UNSURE_STEEPNESS)
    }

    fn max_registered_delay(&self) -> Duration {
        let [shortest, longest] = MAX_REGISTERED_DELAY;
        shortest + (longest - shortest).mul_f64(self.position)
    }
}
