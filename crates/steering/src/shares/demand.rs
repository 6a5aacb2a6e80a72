//! What an instance would use, following its callers with a half-life of seconds.

use crate::Time;
use std::time::Duration;

/// Time after which half of what was seen is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Seconds after which all but 1/e of what was seen is forgotten.
const MEAN_LIFE_S: f64 = HALF_LIFE.as_secs() as f64 / std::f64::consts::LN_2;

/// A rate of attempts that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    weight: f64,
    at: Time,
}

impl Rate {
    /// Counts one attempt.
    pub(super) fn record(&mut self, now: Time) {
        self.weight = self.faded(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns attempts a second.
    pub(super) fn per_s(&self, now: Time) -> f64 {
        self.faded(now) / MEAN_LIFE_S
    }

    fn faded(&self, now: Time) -> f64 {
        self.weight * fade(now.since(self.at))
    }
}

/// A highest level that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peak {
    level: f64,
    at: Time,
}

impl Peak {
    /// Raises the peak to `level` if that is higher.
    pub(super) fn record(&mut self, now: Time, level: u64) {
        self.level = self.level(now).max(level as f64);
        self.at = self.at.max(now);
    }

    /// Returns the level now.
    pub(super) fn level(&self, now: Time) -> f64 {
        self.level * fade(now.since(self.at))
    }
}

fn fade(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEAN_LIFE_S).exp()
}
