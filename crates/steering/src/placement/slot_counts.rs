//! Slots of one service's backend servers in a region, by what keeps them from use.

use std::ops::AddAssign;

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

impl AddAssign for SlotCounts {
    fn add_assign(&mut self, other: Self) {
        self.listed += other.listed;
        self.cold += other.cold;
        self.limited += other.limited;
        self.versioned += other.versioned;
    }
}
