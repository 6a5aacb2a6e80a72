//! Limits the growth of requests of customers that may not run in the broker's region.
//!
//! When a customer that is served only in other regions suddenly sends much more, this changes
//! where a region's requests run as much as a traffic shift does, with the same load on links and
//! on remote backend servers. Its requests may therefore grow only by a fixed factor over two
//! seconds; what grows faster is refused at first and allowed some seconds later. Brokers enforce
//! this because they see all of a region's requests: on a single instance, a customer's requests
//! vary too much between windows.

use crate::Time;
use std::time::Duration;

/// Length of the windows that are compared.
const WINDOW: Duration = Duration::from_secs(2);

/// Counters per window.
const SLOTS_PER_WINDOW: usize = 8;

/// Counters for two windows.
const SLOTS: usize = 2 * SLOTS_PER_WINDOW;

/// Time covered by one counter.
const SLOT_DURATION: Duration =
    Duration::from_millis(WINDOW.as_millis() as u64 / SLOTS_PER_WINDOW as u64);

/// Fraction by which requests may grow from one window to the next: if a customer with 0.11 of a
/// region's requests sends 9 times as many, 0.05 of the requests change their region in 2 s, where
/// 0.15 may; all that its quota allows runs after 6 s.
const MAX_GROWTH: f64 = 0.5;

/// Requests allowed per window in addition, so that random variation does not limit a small
/// customer.
const EXTRA_REQUESTS: f64 = 6.0;

/// Counts the requests granted in the last two windows, newest counter first.
#[derive(Debug, Default)]
pub(super) struct GrowthLimiter {
    slots: [u32; SLOTS],
    newest_at: Time,
    started_at: Option<Time>,
}

impl GrowthLimiter {
    /// Returns whether one more request may run now, and if so counts it.
    pub(super) fn try_acquire(&mut self, now: Time) -> bool {
        self.advance(now);
        let (current, previous) = self.slots.split_at(SLOTS_PER_WINDOW);
        let [current, previous] =
            [current, previous].map(|slots| f64::from(slots.iter().sum::<u32>()));
        // During the first window there is nothing to compare with: other customers are just
        // starting, too.
        let started_at = *self.started_at.get_or_insert(now);
        let counted_for = now.since(started_at);
        let is_first_window = counted_for < WINDOW + SLOT_DURATION;
        // If counting began less than two windows ago, the previous window covers only part of its
        // length.
        let covered_s = counted_for.saturating_sub(WINDOW).min(WINDOW).as_secs_f64();
        let previous = previous * WINDOW.as_secs_f64() / covered_s.max(SLOT_DURATION.as_secs_f64());
        let is_allowed =
            is_first_window || current + 1.0 <= previous * (1.0 + MAX_GROWTH) + EXTRA_REQUESTS;
        self.slots[0] += u32::from(is_allowed);
        is_allowed
    }

    /// Advances the counters to the given time.
    fn advance(&mut self, now: Time) {
        let elapsed_slots = now.since(self.newest_at).as_nanos() / SLOT_DURATION.as_nanos();
        let steps = usize::try_from(elapsed_slots).unwrap_or(usize::MAX).min(SLOTS);
        if steps == 0 {
            return;
        }
        self.slots.copy_within(..SLOTS - steps, steps);
        self.slots[..steps].fill(0);
        self.newest_at = match u32::try_from(steps) {
            Ok(steps) if (steps as usize) < SLOTS => self.newest_at + SLOT_DURATION * steps,
            _ => now,
        };
    }
}
