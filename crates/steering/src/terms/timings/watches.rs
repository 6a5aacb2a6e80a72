//! How long watches on the store wait, and how soon another instance replaces a watcher.
//!
//! An instance detects that the store does not respond when the wait of its watch is over, so the
//! wait is part of the time in which a change is in force if the store falls silent just after it.
//! Each watch costs a call, so waits are no shorter than the terms ask for.

use super::tightness::{Ratio, USUAL_ORDER_PROPAGATION, USUAL_PROPAGATION};
use crate::terms::Propagation;
use crate::watch_timing::{
    POLICY_WAIT_MS, RESPONSE_GRACE, SHORT_WAIT_MS, WAIT_MS, WATCHER_CHECK_INTERVAL,
};
use std::time::Duration;

/// Shortest wait, for which the calls of watches stay a small part of what a store bears.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// Shortest grace period of a response: a round trip between regions and a slow store.
const MIN_RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// Shortest interval at which an instance checks whether it should watch.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Factor by which the wait for the configuration may grow, up to that of other subjects.
const MAX_CONFIGURATION_GROWTH: u32 = 3;

/// Factor by which the waits for other subjects may grow, within the history that a store keeps.
const MAX_GROWTH: u32 = 2;

/// Bounds of the wait of one watch, which is drawn at random.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitRange {
    /// Shortest wait.
    pub min: Duration,
    /// Longest wait.
    pub max: Duration,
}

impl WaitRange {
    /// Waits for the configuration, which operators expect in force soonest.
    const CONFIGURATION: Self = Self::from_ms(SHORT_WAIT_MS);
    /// Waits for backend servers, evacuations and rollouts.
    const OTHER: Self = Self::from_ms(WAIT_MS);
    /// Waits for policies, which no term bounds.
    const POLICIES: Self = Self::from_ms(POLICY_WAIT_MS);

    const fn from_ms([min_ms, max_ms]: [u64; 2]) -> Self {
        Self { min: Duration::from_millis(min_ms), max: Duration::from_millis(max_ms) }
    }

    fn scale(self, ratio: Ratio, max_growth: u32) -> Self {
        let scale = |wait: Duration, min| ratio.scale(wait, min, wait * max_growth);
        Self { min: scale(self.min, MIN_WAIT), max: scale(self.max, 2 * MIN_WAIT) }
    }

    /// Shortens the waits to at most `max`, as far as the store bears it.
    fn at_most(self, max: Duration) -> Self {
        let max = self.max.min(max).max(2 * MIN_WAIT);
        Self { min: self.min.min(max / 2), max }
    }
}

/// Timings of watches on the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTimings {
    /// Wait for the configuration, which contains the customers' keys.
    pub configuration: WaitRange,
    /// Wait for backend servers.
    pub servers: WaitRange,
    /// Wait for evacuations.
    pub evacuations: WaitRange,
    /// Wait for the orders of rollouts, whose time to take effect no term bounds.
    pub rollouts: WaitRange,
    /// Wait for policies.
    pub policies: WaitRange,
    /// Time after the end of the wait at which a watch without a response is abandoned.
    pub response_grace: Duration,
    /// Interval at which an instance that does not watch checks whether it should.
    pub check_interval: Duration,
}

impl Default for WatchTimings {
    fn default() -> Self {
        Self::from(&Propagation::default())
    }
}

impl From<&Propagation> for WatchTimings {
    fn from(terms: &Propagation) -> Self {
        let all = Ratio::of_propagation(terms);
        let response_grace = all.shorten(RESPONSE_GRACE, MIN_RESPONSE_GRACE);
        let check_interval = all.shorten(WATCHER_CHECK_INTERVAL, MIN_CHECK_INTERVAL);
        // Within a tight term, a silent store is detected and the watcher replaced.
        let max_configuration = terms
            .configuration
            .filter(|term| term < USUAL_PROPAGATION.start())
            .map_or(Duration::MAX, |term| term.saturating_sub(response_grace + check_interval));
        let configuration = Ratio::new(terms.configuration, &USUAL_PROPAGATION);
        // Keys are part of the configuration: a loose term for it must not delay a revocation.
        let configuration = match terms.key_revocation {
            Some(_) => {
                configuration.tighter(Ratio::new(terms.key_revocation, &USUAL_ORDER_PROPAGATION))
            }
            None => configuration,
        };
        let servers = Ratio::new(terms.server_drain, &USUAL_PROPAGATION);
        let evacuations = Ratio::new(terms.evacuation, &USUAL_ORDER_PROPAGATION);
        Self {
            configuration: WaitRange::CONFIGURATION
                .scale(configuration, MAX_CONFIGURATION_GROWTH)
                .at_most(max_configuration),
            servers: WaitRange::OTHER.scale(servers, MAX_GROWTH),
            evacuations: WaitRange::OTHER.scale(evacuations, MAX_GROWTH),
            rollouts: WaitRange::OTHER,
            policies: WaitRange::POLICIES,
            response_grace,
            check_interval,
        }
    }
}
