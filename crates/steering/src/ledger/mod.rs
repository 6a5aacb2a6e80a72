//! At most once: which requests with an idempotency key were run, and what became of them.
//!
//! Each key names its home, the one incarnation that may run it.  The home's [`Ledger`] remembers
//! every key that it ran.  Keys that are too old are refused by their time of issue, so that
//! forgetting one never allows it to be run again: a key issued at or after the *horizon* either
//! has a record or was never offered to a backend server, and the horizon only moves forward.
//!
//! A home that stops closes its ledger for good and hands it to one successor ([`HandOver`]), which
//! from then on is the only one that may run the home's keys.

mod book;
mod hand_over;
mod limits;
mod record;
mod status;

pub use hand_over::{HandOver, HandOverOutcome, HandOverPart, HandOverRecord, NextStep, PartReply};
pub use limits::Limits;
pub use record::{ExchangeResult, Fingerprint, Outcome, StoredResponse};
pub use status::{HomeStatus, LedgerStatus};

use crate::key::{IdempotencyKey, Incarnation};
use crate::time::Time;
use book::{Book, Retention, Standing};
use limits::Usage;
use record::{State, key_cost_bytes};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a key is remembered until a configuration says so.
const DEFAULT_TTL: Duration = Duration::from_secs(600);

/// What is to be done with a request that has a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Run it; [`Ledger::finish`] must follow.
    Run,
    /// It ended earlier: say so again.
    Replay(Outcome),
    /// It is in progress.
    InProgress,
    /// The key was used for a request with another method or path.
    Mismatch,
    /// There is no memory for another key; the request was not run.
    Full,
    /// The key is older than what is remembered; the request may have been run.
    Expired,
    /// The key's time of issue lies far ahead; no look-up gave it.
    NotIssued,
    /// We have stopped running requests, and nobody else runs them yet; the request was not run.
    Closed,
    /// A successor runs the home's keys by now, or may.
    HandedOver,
    /// Another instance is the key's home.
    NotHome,
}

/// What is known of a request once it ended.
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
    fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) | Outcome::Ran => ExecutionStatus::Ran,
            Outcome::Unknown => ExecutionStatus::Unknown,
        }
    }
}

/// The keys of one incarnation, and of those whose ledgers it took over.
#[derive(Debug)]
pub struct Ledger {
    own: Incarnation,
    started: Time,
    started_ms: u64,
    ttl: Duration,
    books: HashMap<Incarnation, Book>,
    usage: Usage,
    closed: bool,
}

impl Ledger {
    /// Makes the empty ledger of an incarnation that starts at `now`, which is `unix_ms`
    /// milliseconds since the Unix epoch.
    pub fn new(own: Incarnation, limits: Limits, now: Time, unix_ms: u64) -> Self {
        let book = Book::new(Standing::Open);
        Self {
            own,
            started: now,
            started_ms: unix_ms,
            ttl: DEFAULT_TTL,
            books: HashMap::from([(own, book)]),
            usage: Usage::new(limits),
            closed: false,
        }
    }

    /// Sets how long keys are remembered.
    pub fn set_ttl(&mut self, ttl: Duration) {
        self.ttl = ttl;
    }

    /// Returns the time of issue of a prefix that is given now, in milliseconds since the Unix
    /// epoch; it never goes back.
    pub fn issue_ms(&self, now: Time) -> u64 {
        self.started_ms.saturating_add(milliseconds(now.since(self.started)))
    }

    /// Tells whether no more keys are run.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Decides what is done with a request.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
        now: Time,
    ) -> KeyDecision {
        self.expire(now);
        let latest_ms = self.issue_ms(now).saturating_add(milliseconds(self.ttl));
        let Some(book) = self.books.get_mut(&key.home()) else { return KeyDecision::NotHome };
        if book.standing == Standing::Receiving {
            return KeyDecision::NotHome;
        }
        if let Some(known) = book.known(key, fingerprint) {
            return known;
        }
        if key.issued_ms() < book.horizon_ms {
            return KeyDecision::Expired;
        }
        match book.standing {
            Standing::Closed => return KeyDecision::Closed,
            Standing::HandedOver => return KeyDecision::HandedOver,
            Standing::Open | Standing::Receiving => {}
        }
        if key.issued_ms() > latest_ms {
            return KeyDecision::NotIssued;
        }
        if !self.usage.has_room(1, key_cost_bytes(key)) {
            return KeyDecision::Full;
        }
        book.insert_running(key, fingerprint, &mut self.usage);
        KeyDecision::Run
    }

    /// Notes that a backend server may be offered a byte of the request from now on.
    pub fn record_sent(&mut self, key: &IdempotencyKey) {
        self.set_sent(key, true);
    }

    /// Notes that the request came back with no byte offered.
    pub fn record_not_sent(&mut self, key: &IdempotencyKey) {
        self.set_sent(key, false);
    }

    fn set_sent(&mut self, key: &IdempotencyKey, sent: bool) {
        if let Some(book) = self.books.get_mut(&key.home()) {
            book.set_sent(key, sent);
        }
    }

    /// Ends a request that [`begin`](Self::begin) let run, and returns what the caller may be told.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        ended: ExchangeResult,
        now: Time,
    ) -> ExecutionStatus {
        let retention = self.retention(key, now);
        match self.books.get_mut(&key.home()) {
            Some(book) => book.finish(key, ended, retention, &mut self.usage),
            None => ExecutionStatus::Unknown,
        }
    }

    /// Returns how long a key is kept that ends now: for its time to live, and until its time of
    /// issue is too old.
    fn retention(&self, key: &IdempotencyKey, now: Time) -> Retention {
        let ahead_ms = key.issued_ms().saturating_sub(self.issue_ms(now));
        let keep = self.ttl + Duration::from_millis(ahead_ms);
        Retention { keep, until: now + keep }
    }

    /// Stops running keys, for good, and returns a hand-over for each home that we decided for.
    pub fn close(&mut self, now: Time) -> Vec<HandOver> {
        self.expire(now);
        self.closed = true;
        let max_part_records = self.usage.limits.max_part_records;
        let open = self.books.iter_mut().filter(|(_, book)| book.standing == Standing::Open);
        open.map(|(home, book)| {
            book.standing = Standing::Closed;
            HandOver::new(*home, book.horizon_ms, snapshot(book, now, self.ttl), max_part_records)
        })
        .collect()
    }

    /// Returns the part of a hand-over to send now, with outcomes that came since the ledger was
    /// closed; `None` when there is none.
    pub fn next_part(&mut self, hand_over: &mut HandOver) -> Option<HandOverPart> {
        let book = self.books.get_mut(&hand_over.home())?;
        hand_over.push_updates(std::mem::take(&mut book.updates));
        let part = hand_over.next_part()?;
        if part.last {
            // Before it is sent: from then on the successor may run keys that we don't know.
            book.standing = Standing::HandedOver;
        }
        Some(part)
    }

    /// Takes over a part of another home's book; `false` refuses it.
    ///
    /// Parts are applied in their order and once each; with the last one we decide for the home.
    pub fn receive(&mut self, part: HandOverPart, now: Time) -> bool {
        self.expire(now);
        if self.closed || part.successor != self.own || part.home == self.own {
            return false;
        }
        if part.number == 0 {
            let new = || Book::new(Standing::Receiving);
            self.books.entry(part.home).or_insert_with(new);
        }
        let Some(book) = self.books.get_mut(&part.home) else { return false };
        if part.number != book.next_part {
            return part.number < book.next_part;
        }
        let (keys, bytes) = book.room_needed(&part.records);
        if !self.usage.has_room(keys, bytes) {
            return false;
        }
        for record in part.records {
            let kept_until = now + record.retention;
            book.merge(record, kept_until, &mut self.usage);
        }
        book.horizon_ms = book.horizon_ms.max(part.horizon_ms);
        book.next_part += 1;
        if part.last {
            book.standing = Standing::Open;
        }
        true
    }

    /// Returns the homes whose ledgers were taken over whole and whose keys we run, in order.
    pub fn taken_over_homes(&self) -> Vec<Incarnation> {
        let taken_over = |(home, book): &(&Incarnation, &Book)| {
            **home != self.own && book.standing == Standing::Open
        };
        let mut homes: Vec<_> =
            self.books.iter().filter(taken_over).map(|(home, _)| *home).collect();
        homes.sort_unstable();
        homes
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        let after_ms = self.issue_ms(now).saturating_add(1);
        let horizon_ms = after_ms.saturating_sub(milliseconds(self.ttl));
        for book in self.books.values_mut() {
            book.expire(now, horizon_ms, &mut self.usage);
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns every record of a book that is being closed.
fn snapshot(book: &Book, now: Time, ttl: Duration) -> Vec<HandOverRecord> {
    book.records
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
