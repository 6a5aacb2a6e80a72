//! Timings of heartbeats and of the detection of lost instances.

use super::tightness::{Ratio, USUAL_RECONNECTION};
use std::time::Duration;

/// Time between two heartbeats under usual terms.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Time without a new heartbeat after which an instance is left out of look-ups, under usual terms:
/// twice the time in which a heartbeat reaches a hundred instances through gossip.
pub const LOST_AFTER: Duration = Duration::from_millis(3800);

/// Age of the last heartbeat at which an instance that is lost in its own zone is reported to other
/// zones, under usual terms.
const REPORT_AFTER: Duration = Duration::from_millis(4600);

/// Shortest interval of heartbeats: the bytes of gossip grow with its inverse.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest term of reconnection that is followed: that of the shortest interval of heartbeats.
pub(in crate::terms) const MIN_RECONNECTION: Duration = Duration::from_millis(1500);

/// Timings of heartbeats and of the detection of lost instances.
///
/// They keep their ratios, so that as many heartbeats may get lost under any terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LivenessTimings {
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a new heartbeat after which an instance counts as lost.
    pub lost_after: Duration,
    /// Age of the last heartbeat at which an instance that is lost in its own zone is reported to
    /// other zones.
    pub report_after: Duration,
}

impl Default for LivenessTimings {
    fn default() -> Self {
        Self::new(None)
    }
}

impl LivenessTimings {
    /// Timings under a term of reconnection: look-ups may name a lost instance for little longer.
    pub fn new(reconnection: Option<Duration>) -> Self {
        let ratio = Ratio::new(reconnection, &USUAL_RECONNECTION);
        let heartbeat_interval = ratio.shorten(HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL);
        let speed = heartbeat_interval.div_duration_f64(HEARTBEAT_INTERVAL);
        Self {
            heartbeat_interval,
            lost_after: LOST_AFTER.mul_f64(speed),
            report_after: REPORT_AFTER.mul_f64(speed),
        }
    }
}
