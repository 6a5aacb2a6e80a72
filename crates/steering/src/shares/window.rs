//! A sliding-window rate limit that holds over every window of one second.

use crate::Time;
use std::time::Duration;

/// Length of the windows over which a cap on requests per second holds.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Number of bins that a window is divided into.
const BINS_PER_WINDOW: usize = 32;

/// Number of bins that a window can overlap: one more, as a window may start within a bin.
const BINS: usize = BINS_PER_WINDOW + 1;

/// Length of a bin, in nanoseconds.
const BIN_NS: u64 = 1_000_000_000 / BINS_PER_WINDOW as u64;

/// Counts acquired amounts so that no window of one second exceeds the limit.
///
/// Amounts are counted in bins.  All bins that a window can overlap are summed, so the limit holds
/// wherever the window starts, at the cost of 1/33 of the throughput at saturation.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    bins: [u64; BINS],
    /// Number of the newest bin, counted from the start of the clock.
    newest_bin: u64,
    /// Sum of all bins.
    used: u64,
}

impl Default for SlidingWindow {
    fn default() -> Self {
        Self { bins: [0; BINS], newest_bin: 0, used: 0 }
    }
}

impl SlidingWindow {
    /// Acquires `amount` if the window then holds at most `limit`.
    ///
    /// Otherwise nothing is acquired.  The error is the earliest time at which a retry succeeds if
    /// nothing else is acquired until then, or `None` if `amount` alone exceeds the limit.
    pub fn try_acquire(&mut self, now: Time, amount: u64, limit: u64) -> Result<(), Option<Time>> {
        self.advance(now);
        if self.used.saturating_add(amount) <= limit {
            self.bins[self.index(self.newest_bin)] += amount;
            self.used += amount;
            return Ok(());
        }
        Err(self.earliest_retry(amount, limit))
    }

    /// Returns the amount acquired in the window that ends at `now`.
    pub fn used(&mut self, now: Time) -> u64 {
        self.advance(now);
        self.used
    }

    fn earliest_retry(&self, amount: u64, limit: u64) -> Option<Time> {
        let allowance = limit.checked_sub(amount)?;
        let mut remaining = self.used;
        let oldest = (self.newest_bin + 1).saturating_sub(BINS as u64);
        (oldest..=self.newest_bin).find_map(|bin| {
            remaining -= self.bins[self.index(bin)];
            (remaining <= allowance).then(|| Time::from_ns((bin + BINS as u64) * BIN_NS))
        })
    }

    /// Clears the bins that no window ending at `now` can overlap; none if the clock went back.
    fn advance(&mut self, now: Time) {
        let bin = now.as_ns() / BIN_NS;
        let passed = bin.saturating_sub(self.newest_bin).min(BINS as u64);
        for step in 1..=passed {
            let index = self.index(self.newest_bin + step);
            self.used -= self.bins[index];
            self.bins[index] = 0;
        }
        self.newest_bin = self.newest_bin.max(bin);
    }

    fn index(&self, bin: u64) -> usize {
        (bin % BINS as u64) as usize
    }
}
