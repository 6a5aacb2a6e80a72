//! The phases that a backend server goes through.

use crate::Time;
use serde::Serialize;
use std::time::Duration;

/// Wait before a backend server that signalled leaving is probed, doubled for each repeat.
pub(super) const LEAVING_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Wait before an ejected backend server is probed, doubled for each repeat.
pub(super) const EJECTED_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Longest wait before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Number of doublings after which the longest wait is certainly reached.
const MAX_DOUBLINGS: u32 = 6;

/// The state of a backend server by this instance's own observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It gets requests.
    Live,
    /// It gets requests up to a limit that grows as its responses prove fast.
    Warming {
        /// Requests of this instance that may be in flight.
        limit: u32,
    },
    /// It failed: no requests until `until`, then one as a probe.
    Ejected {
        /// When it was first ejected.
        since: Time,
        /// When it may be probed.
        until: Time,
        /// Number of consecutive ejections, less the first.
        times: u32,
    },
    /// It signalled that it is leaving: no requests until `until`, then one as a probe.
    Leaving {
        /// The last signal.
        signal: LeavingSignal,
        /// When it may be probed.
        until: Time,
        /// Number of consecutive signals, less the first.
        times: u32,
    },
}

/// A signal that a backend server is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingSignal {
    /// The platform listed it as leaving, and no longer does.
    Listed,
    /// It refused a connection.
    Refused,
    /// It answered with `Connection: close`.
    ConnectionClose,
}

impl Phase {
    /// Returns the phase after a first ejection or a failed probe.
    pub(super) fn ejected(self, now: Time) -> Self {
        match self {
            Phase::Ejected { since, times, .. } => {
                let times = times.saturating_add(1);
                Phase::Ejected {
                    since,
                    until: now + probe_delay(EJECTED_PROBE_DELAY, times),
                    times,
                }
            }
            Phase::Leaving { .. } => self,
            Phase::Live | Phase::Warming { .. } => {
                Phase::Ejected { since: now, until: now + EJECTED_PROBE_DELAY, times: 0 }
            }
        }
    }

    /// Returns the phase after a leaving signal.
    ///
    /// Signals that come before `until` belong to the same departure.
    pub(super) fn leaving(self, now: Time, signal: LeavingSignal) -> Self {
        let times = match self {
            Phase::Leaving { until, .. } if now < until => return self,
            Phase::Leaving { times, .. } => times.saturating_add(1),
            _ => 0,
        };
        Phase::Leaving { signal, until: now + probe_delay(LEAVING_PROBE_DELAY, times), times }
    }
}

fn probe_delay(first: Duration, times: u32) -> Duration {
    (first * 2_u32.pow(times.min(MAX_DOUBLINGS))).min(MAX_PROBE_DELAY)
}
