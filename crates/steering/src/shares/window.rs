//! What was spent in the last second, bounded over every window of that length.

use crate::Time;
use std::time::Duration;

/// Length of the windows over which a cap holds.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Bins that a window is divided into.
const BINS_PER_WINDOW: usize = 32;

/// Bins that a window can touch: one more than it is long, as it may start within a bin.
const BINS: usize = BINS_PER_WINDOW + 1;

/// Length of a bin, in nanoseconds.
const BIN_NS: u64 = 1_000_000_000 / BINS_PER_WINDOW as u64;

/// Counts what was spent, such that no window of one second holds more than the limit.
///
/// Spending is counted in bins.  As all bins that a window can touch are summed, the bound holds
/// wherever the window starts; what it costs is 1/33 of the throughput at saturation.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    bins: [u64; BINS],
    /// Number of the newest bin, counted from the start of the clock.
    newest: u64,
    spent: u64,
}

impl Default for SlidingWindow {
    fn default() -> Self {
        Self { bins: [0; BINS], newest: 0, spent: 0 }
    }
}

impl SlidingWindow {
    /// Spends `amount` if the window then holds at most `limit`.
    ///
    /// Otherwise nothing is spent, and the error is the earliest time at which it could be if
    /// nothing else is spent; `None` if `amount` alone is above the limit.
    pub fn try_acquire(&mut self, now: Time, amount: u64, limit: u64) -> Result<(), Option<Time>> {
        self.advance(now);
        if self.spent.saturating_add(amount) <= limit {
            self.bins[self.position(self.newest)] += amount;
            self.spent += amount;
            return Ok(());
        }
        Err(self.earliest(amount, limit))
    }

    /// Returns what was spent in the window that ends now.
    pub fn used(&mut self, now: Time) -> u64 {
        self.advance(now);
        self.spent
    }

    fn earliest(&self, amount: u64, limit: u64) -> Option<Time> {
        let room = limit.checked_sub(amount)?;
        let mut left = self.spent;
        let oldest = (self.newest + 1).saturating_sub(BINS as u64);
        (oldest..=self.newest).find_map(|bin| {
            left -= self.bins[self.position(bin)];
            (left <= room).then(|| Time::from_ns((bin + BINS as u64) * BIN_NS))
        })
    }

    /// Drops the bins that no window ending at `now` can touch; a clock that goes back drops none.
    fn advance(&mut self, now: Time) {
        let bin = now.as_ns() / BIN_NS;
        let passed = bin.saturating_sub(self.newest).min(BINS as u64);
        for step in 1..=passed {
            let position = self.position(self.newest + step);
            self.spent -= self.bins[position];
            self.bins[position] = 0;
        }
        self.newest = self.newest.max(bin);
    }

    fn position(&self, bin: u64) -> usize {
        (bin % BINS as u64) as usize
    }
}
