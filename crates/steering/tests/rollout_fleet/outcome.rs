//! Results of a simulated rollout.

use std::time::Duration;
use steering::deployment::RolloutOutcome;

/// Exposure limit of a version: fraction of the requests, and requests in addition.
pub(crate) const EXPOSURE: (f64, f64) = (0.1, 50.0);

/// Time after the 50th bad response after which no request may go to a bad version.
pub(crate) const ROLLBACK: Duration = Duration::from_secs(5);

/// The results of a simulated rollout.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    /// Requests to the version from connected instances until the deadline.
    pub(crate) exposed: u64,
    pub(crate) bad: u64,
    /// Time from the 50th bad response to the last request to a bad version from a connected
    /// instance.
    pub(crate) overrun: Duration,
    /// Requests to the version from all instances until the deadline.
    pub(crate) exposed_by_all: u64,
    /// Requests to the version from instances that had started, and knew nothing of the rollout.
    pub(crate) uninformed: u64,
    /// Requests to the version from instances that started after the store held its rollback.
    pub(crate) after_rollback: u64,
    /// Time from the order to the time at which it was first seen, according to the store.
    pub(crate) seen_after: Duration,
    /// Writes that took progress in the store back.
    pub(crate) regressions: u64,
    /// The outcome in the store, and the time until then.
    pub(crate) ended: Option<(RolloutOutcome, Duration)>,
    /// Requests in flight to other versions when their backend servers were stopped.
    pub(crate) interrupted: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    /// Maximum number of messages that one instance received in a second.
    pub(crate) max_received_per_s: u64,
}

impl Outcome {
    /// Returns how the results violate the bounds for a bad version, if they do.
    pub(crate) fn violation(&self) -> Option<String> {
        let max_exposed = EXPOSURE.0 * self.requests as f64 + EXPOSURE.1;
        if self.exposed as f64 > max_exposed {
            return Some(format!("{} requests of at most {max_exposed:.0}", self.exposed));
        }
        for (count, what) in [
            (self.uninformed, "requests by instances that knew nothing of the rollout"),
            (self.after_rollback, "requests after a rollback"),
            (self.regressions, "writes that took progress back"),
        ] {
            if count > 0 {
                return Some(format!("{count} {what}"));
            }
        }
        (self.overrun > ROLLBACK).then(|| format!("{:?} after the 50th bad response", self.overrun))
    }
}
