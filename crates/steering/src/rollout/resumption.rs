//! What an instance knows about the stored progress of a rollout.

use super::progress::Milestone;
use super::report::Report;
use crate::Time;
use std::time::Duration;

/// Time after an instance got its first list of orders within which an order that it finds may be an
/// old one: that list may be a few seconds old.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// An instance's state with respect to the stored progress.
#[derive(Clone, Debug)]
pub(super) struct Resumption {
    /// Whether requests are kept from the version until the progress is known.
    pub(super) is_held: bool,
    /// When it became known, if the rollout was held, or the order turned out to be older.
    pub(super) resumed_at: Option<Time>,
    /// When this instance learned of the order.
    pub(super) learned_at: Time,
    /// When this instance last began to synchronize the progress with the store.
    pub(super) synced_at: Option<Time>,
    /// What the store holds at least.
    pub(super) saved: Option<Milestone>,
    /// Report with the stored responses, which were counted before all instances restarted.
    pub(super) earlier: Option<Report>,
}

impl Resumption {
    /// `unknown_at` is when the instance last knew no list of orders, and `now` when it learned of the
    /// order.
    pub(super) fn new(unknown_at: Time, now: Time) -> Self {
        Self {
            is_held: now.since(unknown_at) < STARTUP_PERIOD,
            resumed_at: None,
            learned_at: now,
            synced_at: None,
            saved: None,
            earlier: None,
        }
    }

    /// Records that the order turned out to be older than this instance knew.
    pub(super) fn observe_from(&mut self, now: Time) {
        self.resumed_at = Some(now);
    }

    /// Ends the hold; returns whether there was one.
    pub(super) fn release(&mut self, now: Time) -> bool {
        let was_held = std::mem::take(&mut self.is_held);
        if was_held {
            self.resumed_at = Some(now);
        }
        was_held
    }
}
