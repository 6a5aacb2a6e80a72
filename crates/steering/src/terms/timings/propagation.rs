//! Timings of the path on which changes reach all instances.

use super::tightness::Ratio;
use crate::terms::Propagation;
use std::time::Duration;

/// Longest round trip between regions, with some slack: nothing that waits for another region may
/// take less.
const MIN_REMOTE_WAIT: Duration = Duration::from_millis(150);

/// Shortest timeout that covers a connection to another region and a response over it.
const MIN_FETCH_TIMEOUT: Duration = Duration::from_millis(450);

/// Shortest timeout of a call, which leaves time for a slow store.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Shortest upper bound of the backoff: a store that fails is not called more often by each
/// watcher.
const MIN_MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time by which an instance waits longer than the pause between two failing calls before it
/// reports that it reaches the store.
const RECOVERY_MARGIN: Duration = Duration::from_millis(500);

/// Timings of the path on which changes reach all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PropagationTimings {
    /// Time for a watcher's own watch to deliver a change before it is fetched from another
    /// instance.
    pub watch_grace: Duration,
    /// Upper bound of the random delay before a request to an instance of the same region, so that
    /// not all instances send theirs at once.
    pub same_region_max_delay: Duration,
    /// Delay before a request to an instance of another region.
    pub other_region_delay: Duration,
    /// Delay before a hedged request to another instance: many times a round trip within a region,
    /// and a small part of the time in which a change has to be in force.
    pub hedge_delay: Duration,
    /// Timeout for connecting to another instance.  When packets queue at a slow link, an instance
    /// with a shorter timeout gets no update for as long as the link is saturated, although its
    /// requests get through.
    pub connect_timeout: Duration,
    /// Timeout for fetching an update from another instance, connecting included.
    pub fetch_timeout: Duration,
    /// Timeout of a call to the store, not counting the wait of a watch: many times what the store
    /// usually takes, and enough for a slow store.
    pub call_timeout: Duration,
    /// Upper bound of the backoff after failed calls to the store.
    pub max_backoff: Duration,
    /// Time without a failed call after which an instance reports that it reaches the store.
    ///
    /// An instance that the store refuses may have earlier calls under way that still succeed;
    /// without the delay each of these would count as recovery.
    pub store_recovery_delay: Duration,
}

impl Default for PropagationTimings {
    fn default() -> Self {
        Self::new(Ratio::USUAL)
    }
}

impl From<&Propagation> for PropagationTimings {
    /// All changes take the same path, so the tightest term bounds it.
    fn from(terms: &Propagation) -> Self {
        Self::new(Ratio::of_propagation(terms))
    }
}

impl PropagationTimings {
    fn new(ratio: Ratio) -> Self {
        let shorten = |ms, min| ratio.shorten(Duration::from_millis(ms), min);
        let max_backoff = shorten(1500, MIN_MAX_BACKOFF);
        Self {
            watch_grace: shorten(300, MIN_REMOTE_WAIT),
            same_region_max_delay: shorten(60, Duration::ZERO),
            other_region_delay: shorten(500, MIN_REMOTE_WAIT),
            hedge_delay: shorten(400, MIN_REMOTE_WAIT),
            connect_timeout: shorten(1200, MIN_FETCH_TIMEOUT),
            fetch_timeout: shorten(2500, 2 * MIN_FETCH_TIMEOUT),
            call_timeout: shorten(1200, MIN_CALL_TIMEOUT),
            max_backoff,
            store_recovery_delay: max_backoff + RECOVERY_MARGIN,
        }
    }
}
