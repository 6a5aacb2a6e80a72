//! When an instance that has just started reads the platform's lists itself.
//!
//! With a list for each instance, what the store sends at a start of all grows with instances times
//! backend servers, and none serves until its link has carried all of it.  So those of a region begin
//! that come first, others follow one by one for as long as they hear of none that knows, and most
//! learn from the first ones.

use super::peers::STARTUP_WATCHERS_PER_REGION;
use std::time::Duration;

/// Longest wait of an instance that can't tell who else starts: the whole fleet may start for the first
/// time.
const UNSURE_WAIT: Duration = Duration::from_millis(4000);

/// Steepness of the distribution of those waits.  Most are long, so that of thousands few begin before
/// the first list has come and is passed on, and of a few one still begins well before the longest.
const UNSURE_STEEPNESS: f64 = 7.0;

/// Time between two instances of a region that begin.
///
/// Five in a second bound what the lists take of the store's link, however many instances wait.
const STEP: Duration = Duration::from_millis(200);

/// Shortest and longest time after which an instance no longer waits for others, which may be out of
/// its reach.
const PATIENCE: [Duration; 2] = [Duration::from_millis(4000), Duration::from_millis(8000)];

/// What an instance knows of others when it has just started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationState {
    /// There is nobody to hear from.
    Alone,
    /// The registrations don't have this instance, so they may lack those that start with it.
    Unlisted,
    /// The registrations have this instance.
    Registered,
}

/// When an instance that has just started reads the platform's lists itself.
#[derive(Clone, Copy, Debug)]
pub struct BootstrapDelay {
    /// Where this instance lies between the least and the most patient one, from 0 to 1.
    share: f64,
}

impl BootstrapDelay {
    /// An instance with a share of the patience, which is drawn at random.
    pub fn new(share: f64) -> Self {
        Self { share: share.clamp(0.0, 1.0) }
    }

    /// Time after the start at which it begins, unless it has heard from others by then; `place` is the
    /// number of registered instances of its region that come before it.
    pub fn delay(&self, place: usize, others: RegistrationState) -> Duration {
        match others {
            RegistrationState::Alone => Duration::ZERO,
            RegistrationState::Unlisted => self.unsure_wait(),
            RegistrationState::Registered => {
                let behind = (place + 1).saturating_sub(STARTUP_WATCHERS_PER_REGION);
                let steps = u32::try_from(behind).unwrap_or(u32::MAX);
                STEP.saturating_mul(steps).min(self.patience())
            }
        }
    }

    /// A wait drawn from a truncated exponential distribution, which lets few of any number go first.
    fn unsure_wait(&self) -> Duration {
        let grown = self.share * UNSURE_STEEPNESS.exp_m1();
        UNSURE_WAIT.mul_f64(grown.ln_1p() / UNSURE_STEEPNESS)
    }

    fn patience(&self) -> Duration {
        let [shortest, longest] = PATIENCE;
        shortest + (longest - shortest).mul_f64(self.share)
    }
}
