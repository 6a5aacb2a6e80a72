//! The phases that a backend server goes through.

use crate::Time;
use serde::Serialize;
use std::time::Duration;

/// Wait before a backend server that showed a sign of leaving is probed, doubled at each repeat.
pub(super) const LEAVING_HOLD: Duration = Duration::from_secs(5);

/// Wait before an ejected backend server is probed, doubled at each repeat.
pub(super) const EJECTED_HOLD: Duration = Duration::from_secs(1);

/// Longest wait before a probe.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// Doublings after which the longest wait is reached for certain.
const MAX_DOUBLINGS: u32 = 6;

/// What this instance does with a backend server because of its own observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It gets work.
    Live,
    /// It gets work up to a limit that grows as its answers prove fast.
    Warming {
        /// Our requests that it may have in flight.
        limit: u32,
    },
    /// It failed: no work until `until`, then one request as a probe.
    Ejected {
        /// When it was ejected first.
        since: Time,
        /// When it may be probed.
        until: Time,
        /// How often in a row it was ejected.
        times: u32,
    },
    /// It showed a sign of leaving: no work until `until`, then one request as a probe.
    Leaving {
        /// The last sign.
        sign: LeavingSignal,
        /// When it may be probed.
        until: Time,
        /// How often in a row it showed a sign.
        times: u32,
    },
}

/// A sign that a backend server is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingSignal {
    /// The platform's list said so, and says so no more.
    Listed,
    /// It refused a connection.
    Refused,
    /// It answered with `Connection: close`.
    ConnectionClose,
}

impl Phase {
    /// Returns the phase after one more failure of a probe, or the first ejection.
    pub(super) fn ejected(self, now: Time) -> Self {
        match self {
            Phase::Ejected { since, times, .. } => {
                let times = times.saturating_add(1);
                Phase::Ejected { since, until: now + hold(EJECTED_HOLD, times), times }
            }
            Phase::Leaving { .. } => self,
            Phase::Live | Phase::Warming { .. } => {
                Phase::Ejected { since: now, until: now + EJECTED_HOLD, times: 0 }
            }
        }
    }

    /// Returns the phase after a sign of leaving.
    ///
    /// Signs that come before the hold is over are one and the same departure.
    pub(super) fn leaving(self, now: Time, sign: LeavingSignal) -> Self {
        let times = match self {
            Phase::Leaving { until, .. } if now < until => return self,
            Phase::Leaving { times, .. } => times.saturating_add(1),
            _ => 0,
        };
        Phase::Leaving { sign, until: now + hold(LEAVING_HOLD, times), times }
    }
}

fn hold(first: Duration, times: u32) -> Duration {
    (first * 2_u32.pow(times.min(MAX_DOUBLINGS))).min(MAX_HOLD)
}
