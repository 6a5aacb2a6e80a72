//! What a backend server says of its condition in its answers.

use super::cold::ColdPace;
use std::time::{Duration, Instant};

/// Change of a named rate, as a part of it, below which it is told as the same.
const SAME_RATE: f64 = 0.1;

/// What an answer says of the rate that its backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// Nothing that can be relied on.
    #[default]
    Untold,
    /// Any rate.
    Unlimited,
    /// So many requests a second from all instances together.
    PerSecond(f64),
}

/// What an answer says of the condition of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// The rate that it takes.
    pub limit: Limit,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time in which it wants no request from the instance that it answered.
    pub rest: Option<Duration>,
}

/// A rate that a backend server named, and what this instance sent since.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// Requests a second that it takes from all instances together.
    pub per_s: f64,
    /// Time of the latest answer that is known to have named it.
    pub heard_at: Instant,
    /// Pace of what this instance sends.
    pub pace: ColdPace,
    /// Requests that this instance sent since that was told last.
    pub sent: u64,
}

/// What is known of a backend server's condition.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownCondition {
    /// The rate that it named last, unless it ceased to.
    pub limit: Option<NamedLimit>,
    /// Whether it said that it leaves.
    pub is_leaving: bool,
    /// Time until which it wants nothing from this instance.
    pub rests_until: Option<Instant>,
}

/// What became known of a backend server's condition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConditionChange {
    /// It names a rate: the one before, if any, and the new one, in requests a second.
    Limited(Option<f64>, f64),
    /// It names no rate any more, after this one.
    Unlimited(f64),
    /// It leaves.
    Leaves,
    /// It wants nothing from this instance for a time.
    Rests(Duration),
}

impl KnownCondition {
    /// Takes over what an answer says; returns what changed.
    pub fn told(&mut self, said: Condition, now: Instant) -> Vec<ConditionChange> {
        let mut changes: Vec<ConditionChange> =
            self.limit_told(said.limit, now).into_iter().collect();
        if said.is_leaving && !self.is_leaving {
            self.is_leaving = true;
            changes.push(ConditionChange::Leaves);
        }
        if let Some(rest) = said.rest {
            let is_new = self.rests_until.is_none_or(|until| until <= now);
            self.rests_until = self.rests_until.max(Some(now + rest));
            changes.extend(is_new.then_some(ConditionChange::Rests(rest)));
        }
        changes
    }

    fn limit_told(&mut self, said: Limit, now: Instant) -> Option<ConditionChange> {
        let before = self.limit.map(|known| known.per_s);
        match (said, &mut self.limit) {
            (Limit::Untold, _) | (Limit::Unlimited, None) => None,
            (Limit::Unlimited, known) => {
                *known = None;
                before.map(ConditionChange::Unlimited)
            }
            (Limit::PerSecond(per_s), Some(known)) => {
                known.per_s = per_s;
                known.heard_at = now;
                let moved = before.map_or(0.0, |before| (per_s - before).abs());
                (moved > SAME_RATE * per_s).then_some(ConditionChange::Limited(before, per_s))
            }
            (Limit::PerSecond(per_s), known) => {
                let pace = ColdPace::new(now);
                *known = Some(NamedLimit { per_s, heard_at: now, pace, sent: 0 });
                Some(ConditionChange::Limited(None, per_s))
            }
        }
    }

    /// Counts a request that is sent to it.
    pub fn sent(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.sent += 1;
        }
    }
}
