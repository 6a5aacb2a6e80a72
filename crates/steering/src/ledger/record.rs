//! What is kept of one idempotency key.

use crate::key::IdempotencyKey;
use crate::time::Time;
use bytes::Bytes;
use std::sync::Arc;

/// Memory that a key takes besides its text and the answer's body, in bytes: the record, its place
/// in the map and in the queue of expiries, both with room for growth.
const OVERHEAD_BYTES: usize = 320;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Tells requests apart that were sent with the same key; the same in every build.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request's method and path.
    pub fn from_method_and_path(method: &str, path: &str) -> Self {
        let bytes = method.bytes().chain([b' ']).chain(path.bytes());
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        Self(bytes.fold(FNV_OFFSET, step))
    }
}

/// An answer that can be given again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty when there was none.
    pub content_type: Arc<str>,
    /// The whole body.
    pub body: Bytes,
}

/// What became of a request that was offered to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered, and the answer can be given again.
    Answered(StoredResponse),
    /// It was run, and the answer was not kept.
    Ran,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// Returns the bytes that are kept for it.
    pub(super) fn body_bytes(&self) -> usize {
        match self {
            Outcome::Answered(answer) => answer.body.len() + answer.content_type.len(),
            Outcome::Ran | Outcome::Unknown => 0,
        }
    }
}

/// How an exchange ended, as the one who drove it saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeResult {
    /// No byte was offered to a backend server.
    NotSent,
    /// A backend server refused it under a contract that it was not run.
    Shed,
    /// It was, or may have been, run.
    Sent(Outcome),
}

/// A key with what is known of it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
    /// Until when it is kept at least; `None` while it runs here.
    pub(super) kept_until: Option<Time>,
}

/// How far a request is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// It is in progress, here or at the home that handed it over.
    Running {
        /// Whether a backend server may have been offered a byte of it.
        sent: bool,
    },
    /// It ended.
    Done(Outcome),
}

impl Record {
    /// Returns the memory that the record takes with its key, in bytes.
    pub(super) fn cost_bytes(&self, key: &IdempotencyKey) -> usize {
        let body = match &self.state {
            State::Running { .. } => 0,
            State::Done(outcome) => outcome.body_bytes(),
        };
        key_cost_bytes(key) + body
    }
}

/// Returns the memory that a key takes without an answer, in bytes.
pub(super) fn key_cost_bytes(key: &IdempotencyKey) -> usize {
    OVERHEAD_BYTES + key.as_str().len()
}
