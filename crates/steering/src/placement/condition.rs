//! What a backend server says of its condition in its answers.

use super::senders::{Pace, Role};
use crate::gossip::FRESH_FOR;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Change of a named rate, as a part of it, below which it is told as the same.
const SAME_RATE: f64 = 0.1;

/// Rate at which a backend server is asked, by all instances together, that takes fewer requests or
/// none: only its answers tell that it takes more again.
const LEAST_PER_S: f64 = 0.3;

/// Time without word of a limit after which any instance asks for itself: no sender is left that
/// would know that it is over.  Within it, a change reaches all instances many times over.
const SURE_FOR: Duration = Duration::from_secs(60);

/// Time in which no answer may name the limit before it counts as over: answers of before and after a
/// change cross each other, and one that lacks a word is no proof.
const ENDS_AFTER: Duration = Duration::from_secs(1);

/// What an answer says of the rate that its backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// Nothing that can be relied on.
    #[default]
    Unspecified,
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
    pub backoff: Option<Duration>,
}

/// A rate that a backend server named, and what this instance sent since.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// Requests a second that it takes from all instances together.
    pub per_s: f64,
    pace: Pace,
    /// Requests that this instance sent since that was told last.
    pub sent: u64,
}

/// What an instance claims of a backend server's limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitClaim {
    /// One more than the highest that was known to whom an answer contradicted.
    pub number: u32,
    /// Requests a second that it takes from all instances together; none if any number.
    pub per_s: Option<f64>,
}

/// What is known of a backend server's condition.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownCondition {
    /// The rate that it named last, unless it ceased to.
    pub limit: Option<NamedLimit>,
    /// Time of the latest answer that is known to have told whether there is a limit; none if there
    /// was none for long.
    pub limit_told_at: Option<Instant>,
    /// Number of the claim that is known of the limit.
    claim: u32,
    /// Time since which no answer to this instance has named the limit that is known.
    unnamed_since: Option<Instant>,
    /// Whether it said that it leaves.
    pub is_leaving: bool,
    /// Time until which it wants nothing from this instance.
    pub backoff_until: Option<Instant>,
    changed_at: Option<Instant>,
}

/// What became known of a backend server's condition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConditionChange {
    /// It names a rate: the one before, if any, and the new one, in requests a second.
    Limited(Option<f64>, f64),
    /// It names no rate any more, after this one.
    Unlimited(f64),
    /// It leaves.
    Leaving,
    /// It wants nothing from this instance for a time.
    BackoffRequested(Duration),
}

impl KnownCondition {
    /// Takes over what an answer to this instance says; returns what changed.
    pub fn told(&mut self, said: Condition, now: Instant) -> Vec<ConditionChange> {
        let mut changes: Vec<ConditionChange> =
            self.limit_told(said.limit, now).into_iter().collect();
        if said.is_leaving {
            changes.extend(self.leaves(now));
        }
        if let Some(rest) = said.backoff {
            let is_new = self.backoff_until.is_none_or(|until| until <= now);
            self.backoff_until = self.backoff_until.max(Some(now + rest));
            changes.extend(is_new.then_some(ConditionChange::BackoffRequested(rest)));
        }
        changes
    }

    /// Takes over that it leaves, which it does not take back.
    pub fn leaves(&mut self, now: Instant) -> Option<ConditionChange> {
        if std::mem::replace(&mut self.is_leaving, true) {
            return None;
        }
        self.changed_at = Some(now);
        Some(ConditionChange::Leaving)
    }

    /// Takes over what an answer to this instance says of the limit.
    ///
    /// What contradicts the claim that is known makes a new one, with the next number: claims of instances
    /// whose clocks and distances differ can't be put in order by time.
    fn limit_told(&mut self, said: Limit, now: Instant) -> Option<ConditionChange> {
        let known = self.limit.map(|known| known.per_s);
        match said {
            Limit::Unlimited if known.is_some() => {
                // A word of another instance that it still holds begins the time anew.
                let named_since = |since: &Instant| self.limit_told_at > Some(*since);
                let since = self.unnamed_since.filter(|since| !named_since(since)).unwrap_or(now);
                self.unnamed_since = Some(since);
                if now.duration_since(since) < ENDS_AFTER {
                    return None;
                }
            }
            Limit::PerSecond(_) => self.unnamed_since = None,
            Limit::Unspecified | Limit::Unlimited => {}
        }
        let (is_known, said) = match (said, known) {
            (Limit::Unspecified, _) => return None,
            (Limit::Unlimited, _) => (known.is_none(), None),
            (Limit::PerSecond(per_s), known) => {
                let moved = known.map_or(f64::INFINITY, |known| (per_s - known).abs());
                (moved <= SAME_RATE * per_s, Some(per_s))
            }
        };
        if is_known {
            self.confirm_limit(now, now);
            return None;
        }
        self.take_claim(LimitClaim { number: self.claim.saturating_add(1), per_s: said }, now, now)
    }

    /// Takes over what another instance claims, as an answer said at a time; of two claims the later by
    /// number counts, of two with the same number the lower limit.
    pub fn limit_claimed(
        &mut self,
        claim: LimitClaim,
        at: Instant,
        now: Instant,
    ) -> Option<ConditionChange> {
        let known = self.limit.map(|known| known.per_s);
        let or_most = |per_s: Option<f64>| per_s.unwrap_or(f64::INFINITY);
        let is_same = claim.number == self.claim;
        if is_same && claim.per_s == known {
            self.confirm_limit(at, now);
            return None;
        }
        let is_later = claim.number > self.claim;
        let is_lower = is_same && or_most(claim.per_s) < or_most(known);
        if is_later || is_lower { self.take_claim(claim, at, now) } else { None }
    }

    fn take_claim(
        &mut self,
        claim: LimitClaim,
        at: Instant,
        now: Instant,
    ) -> Option<ConditionChange> {
        let before = self.limit;
        let before_per_s = before.map(|known| known.per_s);
        self.claim = claim.number;
        self.unnamed_since = None;
        self.limit_told_at = Some(at);
        self.limit = claim.per_s.map(|per_s| match before {
            Some(known) => NamedLimit { per_s, ..known },
            None => NamedLimit { per_s, pace: Pace::new(now), sent: 0 },
        });
        if before_per_s == claim.per_s {
            return None;
        }
        self.changed_at = Some(now);
        match (claim.per_s, before_per_s) {
            (Some(per_s), before) => Some(ConditionChange::Limited(before, per_s)),
            (None, Some(before)) => Some(ConditionChange::Unlimited(before)),
            (None, None) => None,
        }
    }

    /// Takes over that the limit that is known, or that there is none, still held at a time.
    fn confirm_limit(&mut self, at: Instant, now: Instant) {
        if self.limit.is_some() {
            self.limit_told_at = self.limit_told_at.max(Some(at));
        } else if self.changed_at.is_some_and(|at| now.duration_since(at) > SURE_FOR) {
            self.limit_told_at = None;
        }
    }

    /// What this instance claims of the limit, and when an answer said so; none if there is nothing
    /// that others have to know.
    pub fn claim(&self, now: Instant) -> Option<(LimitClaim, Instant)> {
        let at = self.limit_told_at.filter(|at| now.duration_since(*at) < SURE_FOR)?;
        let per_s = self.limit.map(|known| known.per_s);
        Some((LimitClaim { number: self.claim, per_s }, at))
    }

    /// Tells whether other instances have to know of it.
    pub fn matters(&self, now: Instant) -> bool {
        self.is_leaving || self.claim(now).is_some()
    }

    /// Tells whether others may not know yet what this instance knows.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.duration_since(at) < FRESH_FOR)
    }

    /// Tells whether this instance may send it one request more, as far as its limit goes.
    ///
    /// The limit binds the sum over all instances, and each of them was told the whole of it: only few
    /// send, each a part.
    pub fn may_get(&mut self, role: Role, now: Instant) -> bool {
        let Some(limit) = &mut self.limit else { return true };
        let is_sure = self.limit_told_at.is_some_and(|at| now.duration_since(at) < SURE_FOR);
        let sends = role != Role::Other || !is_sure;
        sends && limit.pace.has_token(limit.per_s.max(LEAST_PER_S), now)
    }

    /// Counts a request that is sent to it.
    pub fn sent(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.pace.spend();
            limit.sent += 1;
        }
    }

    /// Time for which it wants nothing more from this instance.
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Tells whether it wants nothing from this instance now.
    ///
    /// Nothing but time ends that: an answer to an earlier request does not say that it wants more.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        !self.backoff_left(now).is_zero()
    }

    /// Tells whether it binds what the backend server gets.
    pub fn binds(&self, now: Instant) -> bool {
        self.limit.is_some() || self.is_leaving || self.is_backing_off(now)
    }

    /// Slots of so many that it uses, if a request keeps one busy for `slot_s` seconds.
    pub fn usable_slots(&self, slots: f64, slot_s: f64) -> f64 {
        self.limit.map_or(slots, |limit| slots.min(limit.per_s * slot_s))
    }
}
