//! At-most-once execution: records which requests with an idempotency key were run, and their
//! outcomes.
//!
//! Each key names its home, the only incarnation that may run it.  The home's [`Ledger`] remembers
//! every key that it ran.  Keys that are too old are refused by their time of issue, so that
//! removing a record never allows its key to be run again: a key issued at or after the *horizon*
//! either has a record or its request was never sent to a backend server, and the horizon only
//! moves forward.
//!
//! A home that stops closes its ledger permanently and hands it over to one successor
//! ([`HandOver`]), which from then on is the only one that may run the home's keys.

mod hand_over;
mod key_table;
mod limits;
mod record;
mod status;

pub use hand_over::{HandOver, HandOverOutcome, HandOverPart, HandOverRecord, NextStep, PartReply};
pub use limits::Limits;
pub use record::{ExchangeResult, Fingerprint, Outcome, StoredResponse};
pub use status::{HomeStatus, LedgerStatus};

use crate::key::{IdempotencyKey, Incarnation};
use crate::time::Time;
use key_table::{HomeState, KeyTable, Retention};
use limits::Usage;
use record::{State, key_cost_bytes};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a key is remembered until a configuration sets another.
const DEFAULT_TTL: Duration = Duration::from_secs(600);

/// Decision on a request that has an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Run it; [`Ledger::finish`] must follow.
    Run,
    /// It has ended: replay its outcome.
    Replay(Outcome),
    /// It is in progress.
    InProgress,
    /// The key was used for a request with another method or path.
    Mismatch,
    /// There is no memory for another key; the request was not run.
    Full,
    /// The key was issued before the horizon; the request may have been run.
    Expired,
    /// The key's time of issue lies too far in the future, so no look-up issued it.
    NotIssued,
    /// This instance has stopped running requests, and no successor has taken over yet; the request
    /// was not run.
    Closed,
    /// A successor runs the home's keys, or may run them.
    HandedOver,
    /// Another instance is the key's home.
    NotHome,
}

/// Whether a request that has ended was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// It was not run, and the key may be used again.
    NotRun,
    /// It may have been run.
    Unknown,
    /// It was run.
    Ran,
}

impl ExecutionStatus {
    fn from_outcome(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) | Outcome::Ran => ExecutionStatus::Ran,
            Outcome::Unknown => ExecutionStatus::Unknown,
        }
    }
}

/// The idempotency keys of one incarnation, and of those whose ledgers it took over.
#[derive(Debug)]
pub struct Ledger {
    own_incarnation: Incarnation,
    started: Time,
    started_ms: u64,
    ttl: Duration,
    tables: HashMap<Incarnation, KeyTable>,
    usage: Usage,
    closed: bool,
}

impl Ledger {
    /// Creates the empty ledger of an incarnation that starts at `now`, which is `unix_ms`
    /// milliseconds since the Unix epoch.
    pub fn new(own_incarnation: Incarnation, limits: Limits, now: Time, unix_ms: u64) -> Self {
        let table = KeyTable::new(HomeState::Open);
        Self {
            own_incarnation,
            started: now,
            started_ms: unix_ms,
            ttl: DEFAULT_TTL,
            tables: HashMap::from([(own_incarnation, table)]),
            usage: Usage::new(limits),
            closed: false,
        }
    }

    /// Sets how long keys are remembered.
    pub fn set_ttl(&mut self, ttl: Duration) {
        self.ttl = ttl;
    }

    /// Returns the time of issue of a key prefix issued at `now`, in milliseconds since the Unix
    /// epoch; it never decreases.
    pub fn issue_ms(&self, now: Time) -> u64 {
        self.started_ms.saturating_add(milliseconds(now.since(self.started)))
    }

    /// Returns whether the ledger is closed, so that it runs no more keys.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Decides how to handle a request, and inserts its key if it is to be run.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        now: Time,
    ) -> KeyDecision {
        self.expire(now);
        let latest_ms = self.issue_ms(now).saturating_add(milliseconds(self.ttl));
        let Some(table) = self.tables.get_mut(&key.home()) else { return KeyDecision::NotHome };
        if table.state == HomeState::Receiving {
            return KeyDecision::NotHome;
        }
        if let Some(decision) = table.find_decision(key, fingerprint) {
            return decision;
        }
        if key.issued_ms() < table.horizon_ms {
            return KeyDecision::Expired;
        }
        match table.state {
            HomeState::Closed => return KeyDecision::Closed,
            HomeState::HandedOver => return KeyDecision::HandedOver,
            HomeState::Open | HomeState::Receiving => {}
        }
        if key.issued_ms() > latest_ms {
            return KeyDecision::NotIssued;
        }
        if !self.usage.has_capacity(1, key_cost_bytes(key)) {
            return KeyDecision::Full;
        }
        table.insert_running(key, fingerprint, &mut self.usage);
        KeyDecision::Run
    }

    /// Records that a backend server may be sent a byte of the request from now on.
    pub fn record_sent(&mut self, key: &IdempotencyKey) {
        self.set_sent(key, true);
    }

    /// Records that the attempt ended with no byte sent.
    pub fn record_not_sent(&mut self, key: &IdempotencyKey) {
        self.set_sent(key, false);
    }

    fn set_sent(&mut self, key: &IdempotencyKey, sent: bool) {
        if let Some(table) = self.tables.get_mut(&key.home()) {
            table.set_sent(key, sent);
        }
    }

    /// Records the end of a request that [`begin`](Self::begin) let run.
    ///
    /// Returns the execution status that may be reported to the caller.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        result: ExchangeResult,
        now: Time,
    ) -> ExecutionStatus {
        let retention = self.retention(key, now);
        match self.tables.get_mut(&key.home()) {
            Some(table) => table.finish(key, result, retention, &mut self.usage),
            None => ExecutionStatus::Unknown,
        }
    }

    /// Returns how long to keep a key whose request ends at `now`: for its time to live, and until
    /// its time of issue is before the horizon.
    fn retention(&self, key: &IdempotencyKey, now: Time) -> Retention {
        let ahead_ms = key.issued_ms().saturating_sub(self.issue_ms(now));
        let duration = self.ttl + Duration::from_millis(ahead_ms);
        Retention { duration, until: now + duration }
    }

    /// Stops running keys permanently, and returns a hand-over for each home whose table was open.
    pub fn close(&mut self, now: Time) -> Vec<HandOver> {
        self.expire(now);
        self.closed = true;
        let max_part_records = self.usage.limits.max_part_records;
        let open = self.tables.iter_mut().filter(|(_, table)| table.state == HomeState::Open);
        open.map(|(home, table)| {
            table.state = HomeState::Closed;
            HandOver::new(*home, table.horizon_ms, snapshot(table, now, self.ttl), max_part_records)
        })
        .collect()
    }

    /// Returns the next part of a hand-over to send, if any, including outcomes recorded since the
    /// ledger was closed.
    pub fn next_part(&mut self, hand_over: &mut HandOver) -> Option<HandOverPart> {
        let table = self.tables.get_mut(&hand_over.home())?;
        hand_over.push_updates(std::mem::take(&mut table.updates));
        let part = hand_over.next_part()?;
        if part.last {
            // Set before sending: the successor may then run keys unknown to this instance.
            table.state = HomeState::HandedOver;
        }
        Some(part)
    }

    /// Receives a part of another home's key table; returns false if it is refused.
    ///
    /// Parts are applied in order and once each; after the last one this instance decides for the
    /// home.
    pub fn receive(&mut self, part: HandOverPart, now: Time) -> bool {
        self.expire(now);
        if self.closed
            || part.successor != self.own_incarnation
            || part.home == self.own_incarnation
        {
            return false;
        }
        if part.number == 0 {
            let new = || KeyTable::new(HomeState::Receiving);
            self.tables.entry(part.home).or_insert_with(new);
        }
        let Some(table) = self.tables.get_mut(&part.home) else { return false };
        if part.number != table.next_part_number {
            return part.number < table.next_part_number;
        }
        let (keys, bytes) = table.capacity_needed(&part.records);
        if !self.usage.has_capacity(keys, bytes) {
            return false;
        }
        for record in part.records {
            let kept_until = now + record.retention;
            table.merge(record, kept_until, &mut self.usage);
        }
        table.horizon_ms = table.horizon_ms.max(part.horizon_ms);
        table.next_part_number += 1;
        if part.last {
            table.state = HomeState::Open;
        }
        true
    }

    /// Returns the homes that were taken over completely and whose keys run here, in order.
    pub fn taken_over_homes(&self) -> Vec<Incarnation> {
        let taken_over = |(home, table): &(&Incarnation, &KeyTable)| {
            **home != self.own_incarnation && table.state == HomeState::Open
        };
        let mut homes: Vec<_> =
            self.tables.iter().filter(taken_over).map(|(home, _)| *home).collect();
        homes.sort_unstable();
        homes
    }

    /// Advances the horizon, and removes expired keys.
    pub fn expire(&mut self, now: Time) {
        let after_ms = self.issue_ms(now).saturating_add(1);
        let horizon_ms = after_ms.saturating_sub(milliseconds(self.ttl));
        for table in self.tables.values_mut() {
            table.expire(now, horizon_ms, &mut self.usage);
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns every record of a table that is being closed.
fn snapshot(table: &KeyTable, now: Time, ttl: Duration) -> Vec<HandOverRecord> {
    table
        .records
        .iter()
        .map(|(key, record)| HandOverRecord {
            key: key.clone(),
            fingerprint: record.fingerprint,
            retention: record.kept_until.map_or(ttl, |until| until.since(now)),
            outcome: match &record.state {
                State::Running { .. } => HandOverOutcome::InProgress,
                State::Done(outcome) => HandOverOutcome::Ended(outcome.clone()),
            },
        })
        .collect()
}
