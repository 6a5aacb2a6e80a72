//! The idempotency keys of one home.

use super::hand_over::{HandOverOutcome, HandOverRecord};
use super::limits::Usage;
use super::record::{ExchangeResult, Fingerprint, Outcome, Record, State, key_cost_bytes};
use super::{ExecutionStatus, KeyDecision};
use crate::key::IdempotencyKey;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Who may currently run requests with keys of the home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HomeState {
    /// Parts of the table are being received; the home still decides.
    Receiving,
    /// This instance decides.
    Open,
    /// This instance runs no more keys, and no other instance does yet.
    Closed,
    /// A successor may have the complete table, and then decides.
    HandedOver,
}

/// How long a record is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retention {
    /// Duration from the end of the request.
    pub(super) duration: Duration,
    /// Time at which that duration ends.
    pub(super) until: Time,
}

/// All remembered keys of one home.
///
/// While the table is open, a key of the home that was issued at or after the horizon either has a
/// record, or its request was never sent to a backend server.
#[derive(Debug)]
pub(super) struct KeyTable {
    pub(super) state: HomeState,
    /// Number of the next part to receive; all earlier parts were applied.
    pub(super) next_part_number: u32,
    /// Keys issued before this time are never run, in milliseconds since the Unix epoch.
    pub(super) horizon_ms: u64,
    pub(super) records: HashMap<IdempotencyKey, Record>,
    /// Keys by expiry time, earliest first.
    expiries: BinaryHeap<Reverse<(Time, IdempotencyKey)>>,
    /// Outcomes recorded after the table was closed.
    pub(super) updates: Vec<HandOverRecord>,
}

impl KeyTable {
    pub(super) fn new(state: HomeState) -> Self {
        Self {
            state,
            next_part_number: 0,
            horizon_ms: 0,
            records: HashMap::new(),
            expiries: BinaryHeap::new(),
            updates: Vec::new(),
        }
    }

    /// Returns the decision for a key that has a record.
    pub(super) fn find_decision(
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

    /// Inserts a key whose request starts to run.
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

    /// Records whether a backend server may have been sent a byte of the request.
    pub(super) fn set_sent(&mut self, key: &IdempotencyKey, is_sent: bool) {
        if let Some(Record { state: State::Running { sent }, kept_until: None, .. }) =
            self.records.get_mut(key)
        {
            *sent = is_sent;
        }
    }

    /// Records the end of a request that ran here; only the first call counts.
    pub(super) fn finish(
        &mut self,
        key: &IdempotencyKey,
        result: ExchangeResult,
        retention: Retention,
        usage: &mut Usage,
    ) -> ExecutionStatus {
        let Some(record) = self.records.get(key) else { return ExecutionStatus::Unknown };
        let State::Running { sent } = record.state else { return ExecutionStatus::Unknown };
        if record.kept_until.is_some() {
            return ExecutionStatus::Unknown;
        }
        let fingerprint = record.fingerprint;
        let (status, hand_over_outcome) = match outcome_to_store(result, sent) {
            None => {
                self.remove(key, usage);
                (ExecutionStatus::NotRun, HandOverOutcome::NotRun)
            }
            Some(outcome) => {
                let outcome = self.store_outcome(key, outcome, retention.until, usage);
                (ExecutionStatus::from_outcome(&outcome), HandOverOutcome::Ended(outcome))
            }
        };
        if matches!(self.state, HomeState::Closed | HomeState::HandedOver) {
            let key = key.clone();
            self.updates.push(HandOverRecord {
                key,
                fingerprint,
                retention: retention.duration,
                outcome: hand_over_outcome,
            });
        }
        status
    }

    /// Applies one record of a home that hands over its table.
    pub(super) fn merge(&mut self, record: HandOverRecord, kept_until: Time, usage: &mut Usage) {
        let HandOverRecord { key, fingerprint, outcome, .. } = record;
        let is_done =
            self.records.get(&key).is_some_and(|existing| matches!(existing.state, State::Done(_)));
        match outcome {
            _ if is_done => {}
            HandOverOutcome::NotRun => self.remove(&key, usage),
            HandOverOutcome::InProgress => {
                self.insert_handed_over(&key, fingerprint, kept_until, usage)
            }
            HandOverOutcome::Ended(outcome) => {
                self.insert_handed_over(&key, fingerprint, kept_until, usage);
                self.store_outcome(&key, outcome, kept_until, usage);
            }
        }
    }

    /// Removes keys whose retention has ended and that are too old to be run again.
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

    fn insert_handed_over(
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

    /// Stores an outcome; as `Ran`, without the response, if there is no memory for the body.
    fn store_outcome(
        &mut self,
        key: &IdempotencyKey,
        outcome: Outcome,
        kept_until: Time,
        usage: &mut Usage,
    ) -> Outcome {
        let outcome = match usage.has_capacity_for_body(outcome.body_bytes()) {
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

    /// Returns the number of keys and the bytes that the new ones among `records` would take.
    pub(super) fn capacity_needed(&self, records: &[HandOverRecord]) -> (usize, usize) {
        let new = || records.iter().filter(|record| !self.records.contains_key(&record.key));
        (new().count(), new().map(|record| key_cost_bytes(&record.key)).sum())
    }
}

/// Returns the outcome to store for an exchange; `None` if it was certainly not run.
fn outcome_to_store(result: ExchangeResult, sent: bool) -> Option<Outcome> {
    match result {
        ExchangeResult::Shed => None,
        ExchangeResult::NotSent if !sent => None,
        ExchangeResult::NotSent => Some(Outcome::Unknown),
        ExchangeResult::Sent(outcome) => Some(outcome),
    }
}
