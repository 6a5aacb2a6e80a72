//! When an instance tells others of itself.

use super::gossip::TargetOrder;
use super::peers::HEARTBEAT_INTERVAL;
use std::time::Instant;

/// The times of an instance's rounds of datagrams.
#[derive(Debug)]
pub struct Rounds {
    next_heartbeat_at: Instant,
}

impl Rounds {
    /// Begins with a heartbeat that is due now.
    pub fn new(now: Instant) -> Self {
        Self { next_heartbeat_at: now }
    }

    /// Time of the next heartbeat.
    pub fn next_heartbeat_at(&self) -> Instant {
        self.next_heartbeat_at
    }

    /// Makes a heartbeat due now, as there is something that all should know.
    pub fn request_heartbeat(&mut self, now: Instant) {
        self.next_heartbeat_at = self.next_heartbeat_at.min(now);
    }

    /// Takes the round that is told now: a heartbeat if one is due, else news for those near.
    ///
    /// News puts off no heartbeat: with a change of the store in each interval, none would be sent,
    /// and instances would take those of other regions for lost, 230 of 294 that lived.
    pub fn start_round(&mut self, now: Instant) -> TargetOrder {
        if now < self.next_heartbeat_at {
            return TargetOrder::OwnRegionFirst;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        TargetOrder::Random
    }
}
