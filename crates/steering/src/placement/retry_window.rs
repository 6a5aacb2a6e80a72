//! The requests and retries of one instance for one service, by the window in which they count.
//!
//! A retry counts where and when it arrives, which may be later than it was sent: it is on the way until
//! the outcome of all attempts of its request is known, and counts for a window from then on.

use crate::Time;
use std::time::Duration;

/// Slots that the window is divided into.
const SLOTS_PER_WINDOW: u64 = 20;

/// Slots that are kept: those of a window, the one that it begins in, and as many in the future.
const SLOTS: usize = 2 * (SLOTS_PER_WINDOW as usize + 2);

/// Largest number of slots in the future.
const MAX_AHEAD: u64 = SLOTS as u64 - SLOTS_PER_WINDOW - 2;

/// Windows for which an attempt that was given up may be on the way: a backend server that stands still
/// reads it when it goes on, although its connection is closed.
pub(super) const MAX_LATENESS_WINDOWS: u32 = 1;

/// What falls into a part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The requests and retries of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryWindow {
    slot_ns: u64,
    slots: [Slot; SLOTS],
    /// Retries that may be on the way.
    under_way: u32,
}

impl RetryWindow {
    /// Creates a window of a length without requests and retries.
    pub(super) fn new(length: Duration) -> Self {
        let slot_ns = u64::try_from(length.as_nanos()).unwrap_or(u64::MAX) / SLOTS_PER_WINDOW;
        Self { slot_ns: slot_ns.max(1), slots: [Slot::default(); SLOTS], under_way: 0 }
    }

    /// Adds a request.
    pub(super) fn add_request(&mut self, now: Time) {
        self.slot(self.number(now)).requests += 1;
    }

    /// Adds a retry that is sent.
    pub(super) fn add_retry(&mut self) {
        self.under_way += 1;
    }

    /// Removes a retry that was not sent.
    pub(super) fn remove_retry(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Ends a retry that can't arrive later than `latest`.
    pub(super) fn end_retry(&mut self, latest: Time, now: Time) {
        self.under_way = self.under_way.saturating_sub(1);
        let number = self.number(latest).min(self.number(now) + MAX_AHEAD);
        self.slot(number).retries += 1;
    }

    /// The requests of the window that ends now.
    pub(super) fn requests(&self, now: Time) -> u32 {
        let last = self.number(now);
        let is_in_window =
            |slot: &&Slot| slot.number <= last && slot.number + SLOTS_PER_WINDOW > last;
        self.slots.iter().filter(is_in_window).map(|slot| slot.requests).sum()
    }

    /// The retries that may arrive in the window that ends now, or later.
    pub(super) fn retries(&self, now: Time) -> u32 {
        let last = self.number(now);
        let is_late = |slot: &&Slot| slot.number + SLOTS_PER_WINDOW >= last;
        let ended: u32 = self.slots.iter().filter(is_late).map(|slot| slot.retries).sum();
        self.under_way + ended
    }

    fn number(&self, time: Time) -> u64 {
        time.as_ns() / self.slot_ns
    }

    fn slot(&mut self, number: u64) -> &mut Slot {
        let slot = &mut self.slots[(number % SLOTS as u64) as usize];
        if slot.number != number {
            *slot = Slot { number, ..Slot::default() };
        }
        slot
    }
}
