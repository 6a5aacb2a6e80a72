//! The times of a rollout's steps, as fractions of the duration that its order gives.

use std::time::Duration;

/// Fraction of the exposure limit that the trial uses; the rest is for the requests between a
/// version's turning bad and its rollback.
const TRIAL_FRACTION: f64 = 0.6;

/// Fraction of the duration after which the share grows if the version was found not to be worse:
/// its backend servers have started, and delayed failures had some time to show.
const SPREADING_EARLIEST: f64 = 0.36;

/// Fraction of the duration after which the share grows if nothing is decided, but the evidence is
/// favorable.
const SPREADING_LATEST: f64 = 0.5;

/// Fraction of the duration in which the share grows to all requests, with the square of the time:
/// a version that turns bad soon after the start has got few additional requests when it is
/// detected.
const SPREADING_DURATION: f64 = 0.25;

/// Fraction of the duration for which a version keeps all requests before it is considered rolled
/// out: until then the other versions' backend servers run, so that it can be rolled back.
const OBSERVATION_FRACTION: f64 = 0.15;

/// Fraction of the duration for which a judge that resumed the rollout observes the version: the
/// deadline may be near.
const RESUMED_OBSERVATION_FRACTION: f64 = 0.1;

/// Longest time of observation where no time for rollbacks is agreed.
const MAX_OBSERVATION: Duration = Duration::from_secs(5);

/// Fraction of the duration after which a version that gets all requests is considered rolled out,
/// even if instances have not confirmed that no requests to other versions are in flight. The rest
/// of the time is for a store that is slow or refuses writers.
const DECISION_DEADLINE: f64 = 0.86;

/// Fraction of the duration after which the outcome is decided even if requests to other versions are
/// in flight, or a version was not found to be as good as the others after the rollout resumed.
const FINAL_DEADLINE: f64 = 0.95;

/// Time for which the share grows without confirmation by a judge.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);

/// Limit on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Time within which no request is sent to a version after its bad responses have shown; none
    /// if it is not agreed.
    pub rollback: Option<Duration>,
}

impl ExposureLimit {
    /// A limit of zero: the version gets no requests during the trial.
    pub const NONE: Self = Self { share: 0.0, rollback: None };

    /// The share of the requests that a version gets during the trial.
    pub fn trial_share(self) -> f64 {
        (self.share * TRIAL_FRACTION).clamp(0.0, 1.0)
    }
}

/// The schedule of one rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    pub(super) duration: Duration,
    pub(super) exposure: ExposureLimit,
}

impl Schedule {
    /// Returns whether the share of a version may start to grow, `is_not_worse` if it was found not
    /// to be worse.
    pub(super) fn may_start_spreading(&self, age: Duration, is_not_worse: bool) -> bool {
        let fraction = if is_not_worse { SPREADING_EARLIEST } else { SPREADING_LATEST };
        age >= self.duration.mul_f64(fraction)
    }

    /// Returns whether the outcome has to be decided now.
    pub(super) fn must_decide(&self, age: Duration) -> bool {
        age >= self.duration.mul_f64(DECISION_DEADLINE)
    }

    /// Time for which a judge that resumed the rollout observes the version before it decides on
    /// success.
    pub(super) fn resumed_observation(&self) -> Duration {
        let longest = self.exposure.rollback.unwrap_or(MAX_OBSERVATION);
        self.duration.mul_f64(RESUMED_OBSERVATION_FRACTION).min(longest)
    }

    /// Time for which a version that gets all requests is observed before it is considered rolled
    /// out.
    pub(super) fn observation(&self) -> Duration {
        let longest = self.exposure.rollback.unwrap_or(MAX_OBSERVATION);
        self.duration.mul_f64(OBSERVATION_FRACTION).min(longest)
    }

    /// Returns whether nothing may delay the outcome any longer.
    pub(super) fn is_almost_over(&self, age: Duration) -> bool {
        age >= self.duration.mul_f64(FINAL_DEADLINE)
    }

    /// Time in which the share grows to all requests.
    pub(super) fn growth(&self) -> Duration {
        self.duration.mul_f64(SPREADING_DURATION)
    }

    /// The share of the requests `spread_for` after it began to grow; `confirmed_ago` is the time
    /// since a judge last confirmed the growth.
    pub(super) fn share(&self, spread_for: Option<Duration>, confirmed_ago: Duration) -> f64 {
        let trial = self.exposure.trial_share();
        let Some(spread_for) = spread_for else { return trial };
        let grown_for =
            spread_for.saturating_sub(confirmed_ago.saturating_sub(CONFIRMATION_VALIDITY));
        let fraction = grown_for.as_secs_f64() / self.growth().as_secs_f64();
        (trial + (1.0 - trial) * fraction.powi(2)).min(1.0)
    }
}
