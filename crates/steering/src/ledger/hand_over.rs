//! Handing a closed book to one successor, part by part.
//!
//! The part marked `last` is the point of no return: once it may have reached a successor, it is
//! offered to no other, as both would then run keys of the home.

use super::record::{Fingerprint, Outcome};
use crate::key::{IdempotencyKey, Incarnation};
use std::collections::VecDeque;
use std::time::Duration;

/// Most bytes of bodies in a part, unless one body alone is larger.
const MAX_PART_BYTES: usize = 256 << 10;

/// A part of a book on its way to a successor.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverPart {
    /// The home whose keys these are.
    pub home: Incarnation,
    /// The incarnation that is to take them over.
    pub successor: Incarnation,
    /// Position, from 0.
    pub number: u32,
    /// Whether every key of the home is known with this part.
    pub last: bool,
    /// Keys issued before this are never run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
    /// Keys and what is known of them.
    pub records: Vec<HandOverRecord>,
}

/// A key and what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// How long it is to be kept.
    pub retention: Duration,
    /// What is known of the request.
    pub outcome: HandOverOutcome,
}

/// What a home tells its successor of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HandOverOutcome {
    /// It ended, and was or may have been run.
    Ended(Outcome),
    /// It is in progress at the home.
    InProgress,
    /// It was in progress at the home and ended without being run.
    NotRun,
}

/// What came back for a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartReply {
    /// The successor has it.
    Accepted,
    /// The successor does not take it.
    Refused,
    /// It did not leave this instance.
    NotSent,
    /// It may have arrived.
    Unsure,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the next part, if there is one, to the same successor.
    Continue,
    /// Send the same part to the same successor again.
    Repeat,
    /// Begin anew with another successor.
    TryAnother,
    /// Give up: keys of the home that are not known here stay unknown for ever.
    GiveUp,
}

/// The hand-over of one home's book.
#[derive(Debug)]
pub struct HandOver {
    home: Incarnation,
    horizon_ms: u64,
    max_part_records: usize,
    /// Parts of the closed book, then updates; their content never changes.
    parts: Vec<Vec<HandOverRecord>>,
    /// Position of the part that makes the successor's book whole.
    last: usize,
    next: usize,
    successor: Option<Incarnation>,
    /// Whether a `last` part may have reached the successor.
    committed: bool,
    given_up: bool,
}

impl HandOver {
    pub(super) fn new(
        home: Incarnation,
        horizon_ms: u64,
        records: Vec<HandOverRecord>,
        max_part_records: usize,
    ) -> Self {
        let parts = split(records, max_part_records);
        let last = parts.len() - 1;
        Self {
            home,
            horizon_ms,
            max_part_records,
            parts,
            last,
            next: 0,
            successor: None,
            committed: false,
            given_up: false,
        }
    }

    /// Returns the home whose book it is.
    pub fn home(&self) -> Incarnation {
        self.home
    }

    /// Returns the successor, once one accepted the whole book.
    pub fn taken_over_by(&self) -> Option<Incarnation> {
        self.successor.filter(|_| self.next > self.last)
    }

    /// Tells whether a successor may have the whole book.
    pub fn is_committed(&self) -> bool {
        self.committed
    }

    /// Tells whether there is no successor to send parts to.
    pub fn needs_successor(&self) -> bool {
        self.successor.is_none() && !self.given_up
    }

    /// Begins with a successor; refused once another one may have the whole book.
    pub fn begin(&mut self, successor: Incarnation) -> bool {
        if self.given_up || self.committed {
            return false;
        }
        self.successor = Some(successor);
        self.next = 0;
        true
    }

    /// Adds outcomes that came after the book was closed.
    pub(super) fn push_updates(&mut self, updates: Vec<HandOverRecord>) {
        if !updates.is_empty() {
            self.parts.extend(split(updates, self.max_part_records));
        }
    }

    /// Returns the part to send now; `None` when there is none.
    pub(super) fn next_part(&self) -> Option<HandOverPart> {
        let successor = self.successor.filter(|_| !self.given_up)?;
        let records = self.parts.get(self.next)?.clone();
        Some(HandOverPart {
            home: self.home,
            successor,
            number: u32::try_from(self.next).ok()?,
            last: self.next == self.last,
            horizon_ms: self.horizon_ms,
            records,
        })
    }

    /// Takes in what came back for the part that [`Ledger::next_part`](super::Ledger::next_part)
    /// returned.
    pub fn on_reply(&mut self, reply: PartReply) -> NextStep {
        let is_last = self.next == self.last;
        match reply {
            PartReply::Accepted => {
                self.committed |= is_last;
                self.next += 1;
                NextStep::Continue
            }
            PartReply::Unsure => {
                self.committed |= is_last;
                NextStep::Repeat
            }
            PartReply::NotSent if self.committed => NextStep::Repeat,
            PartReply::Refused if self.committed => {
                self.given_up = true;
                NextStep::GiveUp
            }
            PartReply::NotSent | PartReply::Refused => {
                self.successor = None;
                NextStep::TryAnother
            }
        }
    }
}

/// Divides records into parts of bounded size, at least one.
fn split(records: Vec<HandOverRecord>, max_records: usize) -> Vec<Vec<HandOverRecord>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    let mut queue = VecDeque::from(records);
    while let Some(record) = queue.pop_front() {
        let body_bytes = match &record.outcome {
            HandOverOutcome::Ended(outcome) => outcome.body_bytes(),
            HandOverOutcome::InProgress | HandOverOutcome::NotRun => 0,
        };
        let Some(part) = parts.last_mut() else { return parts };
        let full = part.len() >= max_records || bytes + body_bytes > MAX_PART_BYTES;
        if full && !part.is_empty() {
            parts.push(vec![record]);
            bytes = body_bytes;
        } else {
            part.push(record);
            bytes += body_bytes;
        }
    }
    parts
}
