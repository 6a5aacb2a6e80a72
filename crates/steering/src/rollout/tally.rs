//! Counting how the answers of a version's backend servers end.

use crate::placement::Ending;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::ops::{AddAssign, Sub};
use std::time::Duration;

/// Times a warm answer of the service from which on an answer is slow: waits under load make it 2.
const SLOW_FACTOR: f64 = 2.5;

/// Answer times below this one tell nothing: the network and an instance's own scheduling add as much.
const LEAST_WARM_MS: f64 = 10.0;

/// One exchange with a backend server, as far as it tells something of its version.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// How it ended.
    pub ending: Ending,
    /// Time from sending the request.
    pub elapsed: Duration,
    /// Whether its object was known to be warm there: the time of others depends on the object.
    pub known_warm: bool,
    /// Whether the backend server had just started.
    pub was_cold: bool,
    /// Time to a warm answer of the service, once known, in milliseconds.
    pub warm_ms: Option<f64>,
}

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Exchanges that ended well or failed.
    pub ended: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// Exchanges whose time can be judged.
    pub timed: u32,
    /// Those of them that took several times as long as a warm answer.
    pub slow: u32,
}

impl Tally {
    /// Counts an exchange.
    ///
    /// One that a backend server refused, that met another backend server or that sent nothing tells
    /// nothing of the version.
    pub fn count(&mut self, seen: &Observation) {
        let failed = match seen.ending {
            Ending::Answered { .. } => false,
            Ending::Erred | Ending::Failed => true,
            Ending::Abandoned => {
                // One that was given up counts by the time that it had taken already.
                if seen.is_slow() {
                    self.timed += 1;
                    self.slow += 1;
                }
                return;
            }
            Ending::Shed | Ending::Replaced | Ending::Unsent => return,
        };
        self.ended += 1;
        self.failed += u32::from(failed);
        if !failed && seen.is_timed() {
            self.timed += 1;
            self.slow += u32::from(seen.is_slow());
        }
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
        self.known_warm && !self.was_cold && self.warm_ms.is_some()
    }

    fn is_slow(&self) -> bool {
        let warm_ms = self.warm_ms.unwrap_or(f64::INFINITY).max(LEAST_WARM_MS);
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

    /// What came after `earlier`.
    fn sub(self, earlier: Self) -> Self {
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Answers on one route, of the version that is brought in and of all others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionTallies {
    /// Those of the version that is brought in.
    pub target: Tally,
    /// Those of all other versions.
    pub others: Tally,
}

impl VersionTallies {
    /// The tally of the version that is brought in, or of all others.
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
