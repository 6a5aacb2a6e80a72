//! Slots of one service's backend servers in a region, by what keeps them from use.

use super::senders::SenderCount;
use super::server::Server;
use std::time::Instant;

/// Slots of the backend servers of one service in one region that may get new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotCounts {
    /// Slots of all of them.
    pub listed: f64,
    /// Slots that don't count because their backend servers are cold.
    pub cold: f64,
    /// Slots that don't count because of announced rate limits.
    pub limited: f64,
    /// Slots that don't count because requests are divided between versions.
    pub versioned: f64,
}

impl SlotCounts {
    /// Adds a backend server, if a request occupies a slot for `slot_s` seconds and `version_share`
    /// of its slots counts.
    pub(super) fn add(
        &mut self,
        server: &Server,
        version_share: f64,
        slot_s: f64,
        senders: SenderCount,
        now: Instant,
    ) {
        let listed = f64::from(server.record.slots);
        let warm = server.warm_slots(now);
        let usable = server.condition.usable_slots(warm, slot_s, senders);
        self.listed += listed;
        self.cold += listed - warm;
        self.limited += warm - usable;
        self.versioned += usable * (1.0 - version_share);
    }

    /// Slots of warm backend servers, whether limits and versions let them be used or not: they
    /// change only as backend servers are added, lost, or start.
    pub fn installed(&self) -> f64 {
        self.listed - self.cold
    }

    /// Slots that can be used.
    pub fn usable(&self) -> f64 {
        self.installed() - self.limited - self.versioned
    }
}
