//! Rollout state that instances gossip, with ages in place of times because clocks differ.

use super::decision::Decision;
use super::order_id::OrderId;
use crate::Time;
use crate::deployment::RolloutOutcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time since an event, in whole milliseconds.
///
/// It is rounded down: if it were rounded to the nearest, each relay could make the event seem
/// older.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct AgeMs(u32);

impl AgeMs {
    fn new(at: Time, now: Time) -> Self {
        Self(u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX))
    }

    fn at(self, now: Time) -> Time {
        now - Duration::from_millis(self.0.into())
    }
}

/// The gossiped state of one rollout.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Announcement {
    pub(super) order: OrderId,
    ordered_age: AgeMs,
    /// Time since the share began to grow, and since a judge last confirmed that it does.
    spreads: Option<(AgeMs, AgeMs)>,
    decision: Option<(RolloutOutcome, AgeMs)>,
}

impl Announcement {
    /// Describes an order that arrived at `ordered_at`; `spreads` is when its share began to grow
    /// and when a judge last confirmed that it does.
    pub(super) fn new(
        order: OrderId,
        ordered_at: Time,
        spreads: Option<(Time, Time)>,
        decision: Option<Decision>,
        now: Time,
    ) -> Self {
        let age = |at| AgeMs::new(at, now);
        Self {
            order,
            ordered_age: age(ordered_at),
            spreads: spreads.map(|(since, confirmed_at)| (age(since), age(confirmed_at))),
            decision: decision.map(|decision| (decision.outcome, age(decision.at))),
        }
    }

    pub(super) fn ordered_at(&self, now: Time) -> Time {
        self.ordered_age.at(now)
    }

    /// When the share began to grow, and when a judge last confirmed that it does.
    pub(super) fn spreads(&self, now: Time) -> Option<(Time, Time)> {
        self.spreads.map(|(since, confirmed)| (since.at(now), confirmed.at(now)))
    }

    pub(super) fn decision(&self, now: Time) -> Option<Decision> {
        self.decision.map(|(outcome, age)| Decision { outcome, at: age.at(now) })
    }
}
