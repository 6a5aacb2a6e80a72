//! When an instance tells others of itself.

use super::peers::HEARTBEAT_INTERVAL;
use super::telling::Order;
use std::time::Instant;

/// The times of an instance's rounds of datagrams.
#[derive(Debug)]
pub struct Rounds {
    beat_at: Instant,
}

impl Rounds {
    /// Begins with a heartbeat that is due now.
    pub fn new(now: Instant) -> Self {
        Self { beat_at: now }
    }

    /// Time of the next heartbeat.
    pub fn beat_at(&self) -> Instant {
        self.beat_at
    }

    /// Makes a heartbeat due now, as there is something that all should know.
    pub fn beat_now(&mut self, now: Instant) {
        self.beat_at = self.beat_at.min(now);
    }

    /// Takes the round that is told now: a heartbeat if one is due, else news for those near.
    ///
    /// News puts off no heartbeat: with a change of the store in each interval, none would be sent,
    /// and instances would take those of other regions for lost, 230 of 294 that lived.
    pub fn take(&mut self, now: Instant) -> Order {
        if now < self.beat_at {
            return Order::NearFirst;
        }
        self.beat_at = now + HEARTBEAT_INTERVAL;
        Order::Random
    }
}
