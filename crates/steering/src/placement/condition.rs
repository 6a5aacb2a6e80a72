//! Conditions that a backend server announces in its responses: a rate limit, leaving, a backoff.

use super::role::Role;
use super::senders::{SenderCount, TokenBucket};
use crate::gossip::FRESH_FOR;
use crate::terms::timings::SenderLimits;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Relative change of an announced rate below which it counts as unchanged.
const RATE_TOLERANCE: f64 = 0.1;

/// Lowest rate, in requests per second of all instances together, at which a limited backend server
/// is probed: only its responses show that it takes more again.
const MIN_PROBE_RATE_PER_S: f64 = 0.3;

/// Time after the last confirmation of a limit at which the other instances of the region probe in
/// turn, because no sender is left that would see the limit end; those of other regions begin after
/// twice this time. A change reaches all instances many times over within this time.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// Time for which one instance of a region may send one probe, before it is the next one's turn:
/// enough for the response to reach all instances.
const PROBE_TURN: Duration = Duration::from_secs(5);

/// Time in which no response may announce the limit before it counts as lifted. Responses sent
/// before and after a change can arrive out of order, so one response without the limit proves
/// nothing.
const LIMIT_END_DELAY: Duration = Duration::from_secs(1);

/// Rate limit that a response announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// Nothing reliable.
    #[default]
    Unspecified,
    /// No limit.
    Unlimited,
    /// Limit for all instances together, in requests per second.
    PerSecond(f64),
}

/// Conditions that a response announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// Its rate limit.
    pub limit: Limit,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time for which the answered instance should send no requests.
    pub backoff: Option<Duration>,
}

/// An announced rate limit, and the requests that this instance sent under it.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedLimit {
    /// Requests per second that the backend server takes from all instances together.
    pub per_s: f64,
    bucket: TokenBucket,
    /// Time of this instance's latest request under the limit.
    last_sent_at: Option<Instant>,
    /// Requests that this instance sent since the count was last taken.
    pub sent: u64,
}

/// A versioned statement about a backend server's limit, as instances exchange it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitClaim {
    /// Version: one more than the highest that was known to the instance that got a contradicting
    /// response.
    pub number: u32,
    /// Requests per second that the backend server takes from all instances together; `None` for no
    /// limit.
    pub per_s: Option<f64>,
}

/// Known conditions of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConditionState {
    /// The announced rate limit that applies now.
    pub limit: Option<AnnouncedLimit>,
    /// Time of the latest response that is known to have confirmed the limit, or that there is
    /// none; `None` if there has been no limit for long.
    pub limit_confirmed_at: Option<Instant>,
    /// Version of the adopted claim about the limit.
    claim_number: u32,
    /// Time since which responses to this instance have lacked the current limit.
    limit_absent_since: Option<Instant>,
    /// Whether it announced that it is leaving.
    pub is_leaving: bool,
    /// Time until which this instance should send no requests.
    pub backoff_until: Option<Instant>,
    changed_at: Option<Instant>,
}

/// Change of a backend server's known conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConditionChange {
    /// It announces a limit: the previous one, if any, and the new one, in requests per second.
    Limited(Option<f64>, f64),
    /// It no longer announces a limit; the previous one, in requests per second.
    Unlimited(f64),
    /// It is leaving.
    Leaving,
    /// It asks this instance for a backoff of this length.
    BackoffRequested(Duration),
}

impl ConditionState {
    /// Applies the conditions that a response to this instance announces; returns the changes.
    pub fn record_response(&mut self, announced: Condition, now: Instant) -> Vec<ConditionChange> {
        let mut changes: Vec<ConditionChange> =
            self.record_limit(announced.limit, now).into_iter().collect();
        if announced.is_leaving {
            changes.extend(self.mark_leaving(now));
        }
        if let Some(backoff) = announced.backoff {
            let is_new = self.backoff_until.is_none_or(|until| until <= now);
            self.backoff_until = self.backoff_until.max(Some(now + backoff));
            changes.extend(is_new.then_some(ConditionChange::BackoffRequested(backoff)));
        }
        changes
    }

    /// Records that the backend server is leaving, which is never revoked.
    pub fn mark_leaving(&mut self, now: Instant) -> Option<ConditionChange> {
        if std::mem::replace(&mut self.is_leaving, true) {
            return None;
        }
        self.changed_at = Some(now);
        Some(ConditionChange::Leaving)
    }

    /// Applies the limit that a response to this instance announces.
    ///
    /// A response that contradicts the adopted claim creates a claim with the next number. Claims
    /// are ordered by number and not by time, because the clocks and network delays of instances
    /// differ.
    fn record_limit(&mut self, announced: Limit, now: Instant) -> Option<ConditionChange> {
        let current = self.limit.map(|current| current.per_s);
        match announced {
            Limit::Unlimited if current.is_some() => {
                // A confirmation of the limit by another instance restarts the delay.
                let confirmed_after = |since: &Instant| self.limit_confirmed_at > Some(*since);
                let since =
                    self.limit_absent_since.filter(|since| !confirmed_after(since)).unwrap_or(now);
                self.limit_absent_since = Some(since);
                if now.duration_since(since) < LIMIT_END_DELAY {
                    return None;
                }
            }
            Limit::PerSecond(_) => self.limit_absent_since = None,
            Limit::Unspecified | Limit::Unlimited => {}
        }
        let (is_unchanged, announced) = match (announced, current) {
            (Limit::Unspecified, _) => return None,
            (Limit::Unlimited, _) => (current.is_none(), None),
            (Limit::PerSecond(per_s), current) => {
                let difference = current.map_or(f64::INFINITY, |current| (per_s - current).abs());
                (difference <= RATE_TOLERANCE * per_s, Some(per_s))
            }
        };
        if is_unchanged {
            self.confirm_limit(now, now);
            return None;
        }
        self.adopt_claim(
            LimitClaim { number: self.claim_number.saturating_add(1), per_s: announced },
            now,
            now,
        )
    }

    /// Merges the claim of another instance, which is based on a response at time `at`. The higher
    /// number wins; of claims with the same number, the lower limit.
    pub fn merge_claim(
        &mut self,
        claim: LimitClaim,
        at: Instant,
        now: Instant,
    ) -> Option<ConditionChange> {
        let current = self.limit.map(|current| current.per_s);
        let or_unlimited = |per_s: Option<f64>| per_s.unwrap_or(f64::INFINITY);
        let is_same = claim.number == self.claim_number;
        if is_same && claim.per_s == current {
            self.confirm_limit(at, now);
            return None;
        }
        let is_later = claim.number > self.claim_number;
        let is_lower = is_same && or_unlimited(claim.per_s) < or_unlimited(current);
        if is_later || is_lower { self.adopt_claim(claim, at, now) } else { None }
    }

    fn adopt_claim(
        &mut self,
        claim: LimitClaim,
        at: Instant,
        now: Instant,
    ) -> Option<ConditionChange> {
        let before = self.limit;
        let before_per_s = before.map(|current| current.per_s);
        self.claim_number = claim.number;
        self.limit_absent_since = None;
        self.limit_confirmed_at = Some(at);
        self.limit = claim.per_s.map(|per_s| match before {
            Some(current) => AnnouncedLimit { per_s, ..current },
            // Each new sender starts without tokens, however many follow each other.
            None => AnnouncedLimit {
                per_s,
                bucket: TokenBucket::empty(now),
                last_sent_at: None,
                sent: 0,
            },
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

    /// Records that the current limit, or its absence, still applied at time `at`.
    fn confirm_limit(&mut self, at: Instant, now: Instant) {
        if self.limit.is_some() {
            self.limit_confirmed_at = self.limit_confirmed_at.max(Some(at));
        } else if self.changed_at.is_some_and(|at| now.duration_since(at) > LIMIT_TTL) {
            self.limit_confirmed_at = None;
        }
    }

    /// Returns the claim about the limit for other instances and the time of the response that
    /// confirmed it; `None` if there is nothing to share.
    pub fn claim(&self, now: Instant) -> Option<(LimitClaim, Instant)> {
        let at = self.limit_confirmed_at.filter(|at| now.duration_since(*at) < LIMIT_TTL)?;
        let per_s = self.limit.map(|current| current.per_s);
        Some((LimitClaim { number: self.claim_number, per_s }, at))
    }

    /// Returns whether other instances need these conditions.
    pub fn needs_gossip(&self, now: Instant) -> bool {
        self.is_leaving || self.claim(now).is_some()
    }

    /// Returns whether the latest change is so recent that other instances may not have it yet.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.duration_since(at) < FRESH_FOR)
    }

    /// Returns whether the limit lets this instance send one more request.
    ///
    /// The limit applies to all instances together, and each of them knows the total, so only a few
    /// instances send, each at a fraction of the rate; `live_fraction` is the fraction of the
    /// recently live instances of the region that this one still hears.
    pub fn permits_request(&mut self, role: Role, live_fraction: f64, now: Instant) -> bool {
        let Some(limit) = &mut self.limit else { return true };
        let unconfirmed_for =
            self.limit_confirmed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if role.is_sender() {
            let per_s = limit.per_s.max(MIN_PROBE_RATE_PER_S) * live_fraction;
            return limit.bucket.has_token(per_s, SenderLimits::default(), now);
        }
        limit.bucket.drain(now);
        let has_probed = limit.last_sent_at.is_some_and(|at| now.duration_since(at) < PROBE_TURN);
        is_turn_to_probe(role, unconfirmed_for) && !has_probed
    }

    /// Removes the saved tokens of an instance that is no sender.
    pub fn drain_former_sender(&mut self, role: Role, now: Instant) {
        if let Some(limit) = &mut self.limit
            && !role.is_sender()
        {
            limit.bucket.drain(now);
        }
    }

    /// Counts a request that is sent to the backend server.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.take_token();
            limit.last_sent_at = Some(now);
            limit.sent += 1;
        }
    }

    /// Returns the remaining time for which this instance should send no requests.
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether this instance should send no requests now.
    ///
    /// Only time ends a backoff: a response to an earlier request does not mean that the backend
    /// server takes more.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        !self.backoff_left(now).is_zero()
    }

    /// Returns whether any condition restricts the traffic to the backend server.
    pub fn restricts_traffic(&self, now: Instant) -> bool {
        self.limit.is_some() || self.is_leaving || self.is_backing_off(now)
    }

    /// Returns how many of `slots` the limit lets be used, if a request occupies one for `slot_s`
    /// seconds: no more than the senders may send, and than arrives at them.
    pub fn usable_slots(&self, slots: f64, slot_s: f64, senders: SenderCount) -> f64 {
        self.limit.map_or(slots, |limit| {
            let permitted = limit.per_s * senders.rate_fraction() * slot_s;
            permitted.min(slots * senders.request_fraction())
        })
    }
}

/// Returns whether it is this instance's turn to probe a limit that was not confirmed for a time.
fn is_turn_to_probe(role: Role, unconfirmed_for: Duration) -> bool {
    let (turn, begins_after) = match role {
        Role::Standby(turn) => (turn, LIMIT_TTL),
        Role::Remote(turn) => (turn, 2 * LIMIT_TTL),
        Role::Sender | Role::SoleInstance => return false,
    };
    let Some(elapsed) = unconfirmed_for.checked_sub(begins_after) else { return false };
    turn.is_current(elapsed.as_millis() / PROBE_TURN.as_millis())
}
