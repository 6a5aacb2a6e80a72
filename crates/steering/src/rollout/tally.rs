//! Counts how the responses of a version's backend servers end.

use crate::placement::Ending;
use crate::placement::server::MIN_WARM_MS;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::ops::{AddAssign, Sub};
use std::time::Duration;

/// Multiple of a service's warm latency above which a response is slow: queueing under load makes
/// it 2.
const SLOW_FACTOR: f64 = 2.5;

/// One exchange with a backend server, as far as it is relevant for its version.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// How it ended.
    pub ending: Ending,
    /// Time from sending the request.
    pub elapsed: Duration,
    /// Whether another instance passed it on, as the own one did not reach the backend server: the time
    /// is that of both.
    pub is_passed_on: bool,
    /// Whether its object was known to be warm there: other latencies depend on the object.
    pub was_object_warm: bool,
    /// Whether the backend server had just started.
    pub was_cold: bool,
    /// Warm latency of the service in milliseconds, once known.
    pub warm_ms: Option<f64>,
}

/// Responses of one version on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Exchanges that succeeded or failed.
    pub ended: u32,
    /// Exchanges that failed.
    pub failed: u32,
    /// Exchanges whose latency is comparable.
    pub timed: u32,
    /// Comparable exchanges that took several times the warm latency.
    pub slow: u32,
}

impl Tally {
    /// Counts an exchange.
    ///
    /// Exchanges that a backend server refused, that reached another backend server than intended
    /// or that sent nothing say nothing about the version and are not counted.
    pub fn count(&mut self, observation: &Observation) {
        let failed = match observation.ending {
            Ending::Answered { .. } => false,
            Ending::Erred | Ending::Failed => true,
            Ending::Abandoned => {
                // An abandoned exchange counts as slow if it had already taken that long.
                if observation.is_slow() {
                    self.timed += 1;
                    self.slow += 1;
                }
                return;
            }
            Ending::Shed | Ending::Replaced | Ending::Unsent => return,
        };
        self.ended += 1;
        self.failed += u32::from(failed);
        if !failed && observation.is_timed() {
            self.timed += 1;
            self.slow += u32::from(observation.is_slow());
        }
    }

    /// The exchanges that failed or were slow.
    pub fn bad(&self) -> u32 {
        self.failed + self.slow
    }
}

impl Display for Tally {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { ended, failed, timed, slow } = self;
        write!(formatter, "{failed} of {ended} failed, {slow} of {timed} warm ones were slow")
    }
}

impl Observation {
    fn is_timed(&self) -> bool {
        self.was_object_warm && !self.was_cold && !self.is_passed_on && self.warm_ms.is_some()
    }

    fn is_slow(&self) -> bool {
        let warm_ms = self.warm_ms.unwrap_or(f64::INFINITY).max(MIN_WARM_MS);
        self.is_timed() && self.elapsed.as_secs_f64() * 1_000.0 > warm_ms * SLOW_FACTOR
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, more: Self) {
        self.ended += more.ended;
        self.failed += more.failed;
        self.timed += more.timed;
        self.slow += more.slow;
    }
}

impl Sub for Tally {
    type Output = Self;

    /// The responses counted since `earlier`.
    fn sub(self, earlier: Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Responses on one route, of the version that is rolled out and of all others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionTallies {
    /// Responses of the version that is rolled out.
    pub target: Tally,
    /// Responses of all other versions.
    pub others: Tally,
}

impl VersionTallies {
    /// The tally of the version that is rolled out, or of all others.
    pub fn tally_mut(&mut self, is_target: bool) -> &mut Tally {
        if is_target { &mut self.target } else { &mut self.others }
    }
}

impl AddAssign for VersionTallies {
    fn add_assign(&mut self, more: Self) {
        self.target += more.target;
        self.others += more.others;
    }
}

impl Sub for VersionTallies {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self { target: self.target - earlier.target, others: self.others - earlier.others }
    }
}
