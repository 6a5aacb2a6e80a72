//! What instances tell each other of roll-outs: how long ago what happened, as their clocks differ.

use super::decision::Ruling;
use super::order_id::OrderId;
use crate::Time;
use crate::deployment::RolloutOutcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time since something happened, in whole milliseconds.
///
/// It is rounded down: rounded to the nearest, what is told on and on would seem to lie ever further back.
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

/// What is told of one roll-out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Announcement {
    pub(super) order: OrderId,
    ordered: AgeMs,
    /// Since the share began to grow, and since a judge said so last.
    spreads: Option<(AgeMs, AgeMs)>,
    ruling: Option<(RolloutOutcome, AgeMs)>,
}

impl Announcement {
    /// What is told of an order that came at a time; `spreads` is since when its share grows, and when
    /// a judge said so last.
    pub(super) fn new(
        order: OrderId,
        ordered_at: Time,
        spreads: Option<(Time, Time)>,
        ruling: Option<Ruling>,
        now: Time,
    ) -> Self {
        let age = |at| AgeMs::new(at, now);
        Self {
            order,
            ordered: age(ordered_at),
            spreads: spreads.map(|(since, confirmed_at)| (age(since), age(confirmed_at))),
            ruling: ruling.map(|ruling| (ruling.outcome, age(ruling.at))),
        }
    }

    pub(super) fn ordered_at(&self, now: Time) -> Time {
        self.ordered.at(now)
    }

    /// Since when the share grows, and when a judge said so last.
    pub(super) fn spreads(&self, now: Time) -> Option<(Time, Time)> {
        self.spreads.map(|(since, confirmed)| (since.at(now), confirmed.at(now)))
    }

    pub(super) fn ruling(&self, now: Time) -> Option<Ruling> {
        self.ruling.map(|(outcome, age)| Ruling { outcome, at: age.at(now) })
    }
}
