//! Hands over a closed key table to one successor, in parts.
//!
//! Sending the part marked `last` is irrevocable: once it may have reached a successor, no other
//! successor may get it, as both would then run keys of the home.

use super::record::{Fingerprint, Outcome};
use crate::key::{IdempotencyKey, Incarnation};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum bytes of response bodies in a part, unless a single body is larger.
const MAX_PART_BYTES: usize = 256 << 10;

/// A part of a key table, to be sent to a successor.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverPart {
    /// The home of the keys.
    pub home: Incarnation,
    /// The incarnation that is to take over the keys.
    pub successor: Incarnation,
    /// Index of the part, from 0.
    pub number: u32,
    /// Whether this part completes the successor's table.
    pub last: bool,
    /// Keys issued before this time are never run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
    /// Keys and their outcomes.
    pub records: Vec<HandOverRecord>,
}

/// A key and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// Fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// How long the successor must keep the record.
    pub retention: Duration,
    /// State or outcome of the request.
    pub outcome: HandOverOutcome,
}

/// The state of a request, as a home reports it to its successor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HandOverOutcome {
    /// It has ended, and was or may have been run.
    Ended(Outcome),
    /// It is in progress at the home.
    InProgress,
    /// It was in progress at the home and ended without being run.
    NotRun,
}

/// The result of sending a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartReply {
    /// The successor has accepted it.
    Accepted,
    /// The successor has refused it.
    Refused,
    /// It was not sent.
    NotSent,
    /// It may or may not have arrived.
    Unsure,
}

/// The next step of a hand-over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the next part, if any, to the same successor.
    Continue,
    /// Send the same part to the same successor again.
    Repeat,
    /// Start again with another successor.
    TryAnother,
    /// Give up: the outcomes of keys that are not in this table stay unknown for good.
    GiveUp,
}

/// The hand-over of one home's key table.
#[derive(Debug)]
pub struct HandOver {
    home: Incarnation,
    horizon_ms: u64,
    max_part_records: usize,
    /// Parts of the closed table, then updates; the content of a part never changes.
    parts: Vec<Vec<HandOverRecord>>,
    /// Index of the part that completes the successor's table.
    last_index: usize,
    /// Index of the next part to send.
    next_index: usize,
    successor: Option<Incarnation>,
    /// Whether a `last` part may have reached the successor.
    committed: bool,
    has_given_up: bool,
}

impl HandOver {
    pub(super) fn new(
        home: Incarnation,
        horizon_ms: u64,
        records: Vec<HandOverRecord>,
        max_part_records: usize,
    ) -> Self {
        let parts = split(records, max_part_records);
        let last_index = parts.len() - 1;
        Self {
            home,
            horizon_ms,
            max_part_records,
            parts,
            last_index,
            next_index: 0,
            successor: None,
            committed: false,
            has_given_up: false,
        }
    }

    /// Returns the home whose table is handed over.
    pub fn home(&self) -> Incarnation {
        self.home
    }

    /// Returns the successor, once it has accepted the complete table.
    pub fn taken_over_by(&self) -> Option<Incarnation> {
        self.successor.filter(|_| self.next_index > self.last_index)
    }

    /// Returns whether a successor may have the complete table.
    pub fn is_committed(&self) -> bool {
        self.committed
    }

    /// Returns whether a successor must be chosen before parts can be sent.
    pub fn needs_successor(&self) -> bool {
        self.successor.is_none() && !self.has_given_up
    }

    /// Starts with a successor; returns false if a successor may already have the complete table,
    /// or the hand-over was given up.
    pub fn begin(&mut self, successor: Incarnation) -> bool {
        if self.has_given_up || self.committed {
            return false;
        }
        self.successor = Some(successor);
        self.next_index = 0;
        true
    }

    /// Adds outcomes that were recorded after the table was closed.
    pub(super) fn push_updates(&mut self, updates: Vec<HandOverRecord>) {
        if !updates.is_empty() {
            self.parts.extend(split(updates, self.max_part_records));
        }
    }

    /// Returns the next part to send, if any.
    pub(super) fn next_part(&self) -> Option<HandOverPart> {
        let successor = self.successor.filter(|_| !self.has_given_up)?;
        let records = self.parts.get(self.next_index)?.clone();
        Some(HandOverPart {
            home: self.home,
            successor,
            number: u32::try_from(self.next_index).ok()?,
            last: self.next_index == self.last_index,
            horizon_ms: self.horizon_ms,
            records,
        })
    }

    /// Records the result of sending the part that [`Ledger::next_part`](super::Ledger::next_part)
    /// returned.
    pub fn on_reply(&mut self, reply: PartReply) -> NextStep {
        let is_last = self.next_index == self.last_index;
        match reply {
            PartReply::Accepted => {
                self.committed |= is_last;
                self.next_index += 1;
                NextStep::Continue
            }
            PartReply::Unsure => {
                self.committed |= is_last;
                NextStep::Repeat
            }
            PartReply::NotSent if self.committed => NextStep::Repeat,
            PartReply::Refused if self.committed => {
                self.has_given_up = true;
                NextStep::GiveUp
            }
            PartReply::NotSent | PartReply::Refused => {
                self.successor = None;
                NextStep::TryAnother
            }
        }
    }
}

/// Divides records into one or more parts of bounded size.
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
