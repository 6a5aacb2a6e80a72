//! Estimates of an instance's demand that decay exponentially, with a half-life of seconds.

use crate::Time;
use std::time::Duration;

/// Time after which the weight of a past observation has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time constant of the decay, in seconds: the weight has fallen to 1/e.
const MEAN_LIFE_S: f64 = HALF_LIFE.as_secs() as f64 / std::f64::consts::LN_2;

/// An exponentially decaying rate of attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    /// Decayed number of attempts at `updated_at`.
    weight: f64,
    updated_at: Time,
}

impl DecayingRate {
    /// Counts one attempt.
    pub(super) fn record(&mut self, now: Time) {
        self.weight = self.decayed(now) + 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the rate in attempts per second.
    pub(super) fn per_s(&self, now: Time) -> f64 {
        self.decayed(now) / MEAN_LIFE_S
    }

    fn decayed(&self, now: Time) -> f64 {
        self.weight * decay_factor(now.since(self.updated_at))
    }
}

/// An exponentially decaying maximum of a level.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingPeak {
    /// Decayed peak at `updated_at`.
    level: f64,
    updated_at: Time,
}

impl DecayingPeak {
    /// Raises the peak to `level` if `level` is higher than the decayed peak.
    pub(super) fn record(&mut self, now: Time, level: u64) {
        self.level = self.level(now).max(level as f64);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed peak.
    pub(super) fn level(&self, now: Time) -> f64 {
        self.level * decay_factor(now.since(self.updated_at))
    }
}

fn decay_factor(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEAN_LIFE_S).exp()
}
