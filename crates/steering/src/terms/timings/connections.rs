//! Timings by which connections break when the network falls silent.

use super::tightness::{Ratio, USUAL_RECONNECTION};
use std::time::Duration;

/// Shortest timings, which the operating system counts in whole seconds.
const MIN_TIMING: Duration = Duration::from_secs(1);

/// Timings by which connections break when the network falls silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimings {
    /// Time after which unacknowledged data closes a connection.
    pub user_timeout: Duration,
    /// Idle time before the first TCP keepalive probe, and time between probes.
    pub keepalive_interval: Duration,
}

impl Default for ConnectionTimings {
    fn default() -> Self {
        Self::new(None)
    }
}

impl ConnectionTimings {
    /// Timings under a term of reconnection: after a silence, no request may use a connection that
    /// the silence has broken.
    pub fn new(reconnection: Option<Duration>) -> Self {
        let ratio = Ratio::new(reconnection, &USUAL_RECONNECTION);
        let shorten = |timing_s| ratio.shorten(Duration::from_secs(timing_s), MIN_TIMING);
        Self { user_timeout: shorten(3), keepalive_interval: shorten(2) }
    }
}
