//! When a roll-out takes which step, as parts of the time that its order gives.

use std::time::Duration;

/// Part of the requests that a bad version may get of which the trial gives it: what is left covers
/// those that come between its turning bad and its being turned back.
const TRIAL_PART: f64 = 0.6;

/// Part of the time after which a version that was found alike gets a growing share: its backend
/// servers have started, and what turns bad later had some time to show.
const SPREADS_FROM: f64 = 0.36;

/// Part of the time after which a version that is not decided, and of which more speaks for it, gets it.
const SPREADS_LATEST: f64 = 0.5;

/// Part of the time in which the share grows to all requests, with the square of the time: what turns
/// bad soon after has got little more by the time at which it is found.
const SPREADING: f64 = 0.25;

/// Part of the time after which a version that has all requests is taken for brought in, also if it
/// is not known of all instances that nothing is under way to other versions: what is left is for a
/// store that is slow, or turns writers away.
const SETTLES_LATEST: f64 = 0.86;

/// Time for which the share grows without an announcement of a judge.
const ANNOUNCEMENT_HOLDS: Duration = Duration::from_secs(5);

/// What a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Part of the service's requests.
    pub share: f64,
}

impl ExposureLimit {
    /// Those where a version gets nothing until it has to be settled.
    pub const NONE: Self = Self { share: 0.0 };

    /// The share of the requests that a version gets until it is found alike.
    pub fn trial_share(self) -> f64 {
        (self.share * TRIAL_PART).clamp(0.0, 1.0)
    }
}

/// The steps of one roll-out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) duration: Duration,
    pub(super) terms: ExposureLimit,
}

impl Schedule {
    /// Tells whether it is time to give a version a growing share that was found alike, or not.
    pub(super) fn may_spread(&self, age: Duration, is_found_alike: bool) -> bool {
        let part = if is_found_alike { SPREADS_FROM } else { SPREADS_LATEST };
        age >= self.duration.mul_f64(part)
    }

    /// Tells whether the roll-out has to be settled now.
    pub(super) fn must_settle(&self, age: Duration) -> bool {
        age >= self.duration.mul_f64(SETTLES_LATEST)
    }

    /// The share of the requests `spread_for` after it began to grow; `announced_ago` is the time since a
    /// judge was heard last.
    pub(super) fn share(&self, spread_for: Option<Duration>, announced_ago: Duration) -> f64 {
        let trial = self.terms.trial_share();
        let Some(spread_for) = spread_for else { return trial };
        let grown_for = spread_for.saturating_sub(announced_ago.saturating_sub(ANNOUNCEMENT_HOLDS));
        let part = grown_for.as_secs_f64() / self.duration.mul_f64(SPREADING).as_secs_f64();
        (trial + (1.0 - trial) * part.powi(2)).min(1.0)
    }
}
