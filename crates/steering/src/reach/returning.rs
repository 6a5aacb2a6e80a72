//! The return to direct paths after a cut.

use std::time::{Duration, Instant};

/// Time over which the requests return to direct paths, so that not all connections are opened at
/// once.
const RAMP: Duration = Duration::from_secs(1);

/// Time after a return within which a loss counts as the same one.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// Time for which a server has to be reached after the first relapse; it doubles with each.
const FIRST_HOLD: Duration = Duration::from_millis(500);

/// Longest time for which a server has to be reached after relapses.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Remembers cuts that come and go.
#[derive(Debug, Default)]
pub(super) struct Returning {
    returned_at: Option<Instant>,
    relapses: u32,
    /// First success after a relapse, while the hold lasts.
    reached_since: Option<Instant>,
}

impl Returning {
    /// Records that the scope is lost.
    pub(super) fn record_loss(&mut self, now: Instant) {
        let is_relapse = self.is_recent(now);
        self.relapses = if is_relapse { self.relapses + 1 } else { 0 };
        self.reached_since = None;
    }

    /// Records a success while the scope is lost; returns whether it is reached again.
    pub(super) fn record_success(&mut self, now: Instant) -> bool {
        let since = *self.reached_since.get_or_insert(now);
        let doublings = self.relapses.saturating_sub(1).min(8);
        let hold = if self.relapses == 0 {
            Duration::ZERO
        } else {
            (FIRST_HOLD * (1 << doublings)).min(MAX_HOLD)
        };
        let has_returned = now.duration_since(since) >= hold;
        if has_returned {
            self.returned_at = Some(now);
            self.reached_since = None;
        }
        has_returned
    }

    /// Records that as many servers failed again as lose a scope, without a success between.
    pub(super) fn record_failure(&mut self) {
        self.reached_since = None;
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.returned_at.is_some_and(|at| now.duration_since(at) < RELAPSE_WINDOW)
    }

    /// Fraction of the requests that use direct paths again.
    pub(super) fn direct_fraction(&self, now: Instant) -> f64 {
        let since = self.returned_at.map(|at| now.saturating_duration_since(at));
        since.map_or(1.0, |since| since.div_duration_f64(RAMP).min(1.0))
    }
}
