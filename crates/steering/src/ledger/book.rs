//! The keys of one home.

use super::hand_over::{HandOverOutcome, HandOverRecord};
use super::limits::Usage;
use super::record::{ExchangeResult, Fingerprint, Outcome, Record, State, key_cost_bytes};
use super::{ExecutionStatus, KeyDecision};
use crate::key::IdempotencyKey;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Who may run keys of the home now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// Parts of the book come in; the home still decides.
    Receiving,
    /// We decide.
    Open,
    /// We run nothing more, and nobody else does yet.
    Closed,
    /// A successor may have the whole book and decide.
    HandedOver,
}

/// How long a record is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retention {
    /// As a duration.
    pub(super) keep: Duration,
    /// As a point in time.
    pub(super) until: Time,
}

/// All keys of one home that are remembered.
///
/// While the book is open, a key of the home that was issued at or after the horizon either has a
/// record, or was never offered to a backend server.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) standing: Standing,
    /// Number of the next part taken over; parts before it were applied.
    pub(super) next_part: u32,
    /// Keys issued before this are never run, in milliseconds since the Unix epoch.
    pub(super) horizon_ms: u64,
    pub(super) records: HashMap<IdempotencyKey, Record>,
    /// Keys by the time until which they are kept, earliest first.
    expiries: BinaryHeap<Reverse<(Time, IdempotencyKey)>>,
    /// Outcomes that came after the book was closed.
    pub(super) updates: Vec<HandOverRecord>,
}

impl Book {
    pub(super) fn new(standing: Standing) -> Self {
        Self {
            standing,
            next_part: 0,
            horizon_ms: 0,
            records: HashMap::new(),
            expiries: BinaryHeap::new(),
            updates: Vec::new(),
        }
    }

    /// Returns what is known of a key, `None` for nothing.
    pub(super) fn known(
        &self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> Option<KeyDecision> {
        let record = self.records.get(key)?;
        Some(match &record.state {
            _ if record.fingerprint != fingerprint => KeyDecision::Mismatch,
            State::Running { .. } => KeyDecision::InProgress,
            State::Done(outcome) => KeyDecision::Replay(outcome.clone()),
        })
    }

    /// Remembers a key that is run from now on.
    pub(super) fn insert_running(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        usage: &mut Usage,
    ) {
        let state = State::Running { sent: false };
        let record = Record { fingerprint, state, kept_until: None };
        usage.add(record.cost_bytes(key));
        self.records.insert(key.clone(), record);
    }

    /// Notes whether a backend server may have been offered a byte.
    pub(super) fn set_sent(&mut self, key: &IdempotencyKey, now_sent: bool) {
        if let Some(Record { state: State::Running { sent }, kept_until: None, .. }) =
            self.records.get_mut(key)
        {
            *sent = now_sent;
        }
    }

    /// Ends a request that ran here; the first end counts.
    pub(super) fn finish(
        &mut self,
        key: &IdempotencyKey,
        ended: ExchangeResult,
        retention: Retention,
        usage: &mut Usage,
    ) -> ExecutionStatus {
        let Some(record) = self.records.get(key) else { return ExecutionStatus::Unknown };
        let State::Running { sent } = record.state else { return ExecutionStatus::Unknown };
        if record.kept_until.is_some() {
            return ExecutionStatus::Unknown;
        }
        let fingerprint = record.fingerprint;
        let (settled, handed) = match settle(ended, sent) {
            None => {
                self.remove(key, usage);
                (ExecutionStatus::NotRun, HandOverOutcome::NotRun)
            }
            Some(outcome) => {
                let outcome = self.keep(key, outcome, retention.until, usage);
                (ExecutionStatus::of(&outcome), HandOverOutcome::Ended(outcome))
            }
        };
        if matches!(self.standing, Standing::Closed | Standing::HandedOver) {
            let key = key.clone();
            self.updates.push(HandOverRecord {
                key,
                fingerprint,
                retention: retention.keep,
                outcome: handed,
            });
        }
        settled
    }

    /// Applies one record of a home that hands its book over.
    pub(super) fn merge(&mut self, handed: HandOverRecord, kept_until: Time, usage: &mut Usage) {
        let HandOverRecord { key, fingerprint, outcome, .. } = handed;
        let done =
            self.records.get(&key).is_some_and(|known| matches!(known.state, State::Done(_)));
        match outcome {
            _ if done => {}
            HandOverOutcome::NotRun => self.remove(&key, usage),
            HandOverOutcome::InProgress => self.insert_remote(&key, fingerprint, kept_until, usage),
            HandOverOutcome::Ended(outcome) => {
                self.insert_remote(&key, fingerprint, kept_until, usage);
                self.keep(&key, outcome, kept_until, usage);
            }
        }
    }

    /// Forgets what is neither kept any longer nor could be run again.
    pub(super) fn expire(&mut self, now: Time, horizon_ms: u64, usage: &mut Usage) {
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
        while let Some(Reverse((kept_until, key))) = self.expiries.peek() {
            if *kept_until > now || key.issued_ms() >= self.horizon_ms {
                return;
            }
            let Some(Reverse((kept_until, key))) = self.expiries.pop() else { return };
            let latest = self.records.get(&key).and_then(|record| record.kept_until);
            if latest == Some(kept_until) {
                self.remove(&key, usage);
            }
        }
    }

    fn insert_remote(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        kept_until: Time,
        usage: &mut Usage,
    ) {
        if self.records.contains_key(key) {
            return;
        }
        let state = State::Running { sent: true };
        let record = Record { fingerprint, state, kept_until: Some(kept_until) };
        usage.add(record.cost_bytes(key));
        self.records.insert(key.clone(), record);
        self.expiries.push(Reverse((kept_until, key.clone())));
    }

    /// Keeps an outcome, without the answer's body where there is no memory for it.
    fn keep(
        &mut self,
        key: &IdempotencyKey,
        outcome: Outcome,
        kept_until: Time,
        usage: &mut Usage,
    ) -> Outcome {
        let outcome = match usage.has_room_for_body(outcome.body_bytes()) {
            true => outcome,
            false => Outcome::Ran,
        };
        let Some(record) = self.records.get_mut(key) else { return outcome };
        usage.remove(record.cost_bytes(key));
        record.state = State::Done(outcome.clone());
        record.kept_until = Some(kept_until);
        usage.add(record.cost_bytes(key));
        self.expiries.push(Reverse((kept_until, key.clone())));
        outcome
    }

    fn remove(&mut self, key: &IdempotencyKey, usage: &mut Usage) {
        if let Some(record) = self.records.remove(key) {
            usage.remove(record.cost_bytes(key));
        }
    }

    /// Returns the memory that the records not yet known would take, as keys and bytes.
    pub(super) fn room_needed(&self, records: &[HandOverRecord]) -> (usize, usize) {
        let new = || records.iter().filter(|handed| !self.records.contains_key(&handed.key));
        (new().count(), new().map(|handed| key_cost_bytes(&handed.key)).sum())
    }
}

/// Returns what is remembered of an exchange; `None` when it was certainly not run.
fn settle(ended: ExchangeResult, sent: bool) -> Option<Outcome> {
    match ended {
        ExchangeResult::Shed => None,
        ExchangeResult::NotSent if !sent => None,
        ExchangeResult::NotSent => Some(Outcome::Unknown),
        ExchangeResult::Sent(outcome) => Some(outcome),
    }
}
