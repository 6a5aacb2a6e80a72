//! The record of one idempotency key.

use crate::key::IdempotencyKey;
use crate::time::Time;
use bytes::Bytes;
use std::sync::Arc;

/// Memory per key besides its text and the response body, in bytes: the record and its entries in
/// the map and the expiry queue, both with spare capacity for growth.
const OVERHEAD_BYTES: usize = 320;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Distinguishes requests that were sent with the same key; the same in every build.
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

/// A response that can be replayed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty when there was none.
    pub content_type: Arc<str>,
    /// The complete body.
    pub body: Bytes,
}

/// Outcome of a request that was sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered, and the response can be replayed.
    Answered(StoredResponse),
    /// It was run, and the response was not stored.
    Ran,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// Returns the size of the stored response in bytes.
    pub(super) fn body_bytes(&self) -> usize {
        match self {
            Outcome::Answered(answer) => answer.body.len() + answer.content_type.len(),
            Outcome::Ran | Outcome::Unknown => 0,
        }
    }
}

/// Result of an exchange, as its caller observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeResult {
    /// No byte was sent to a backend server.
    NotSent,
    /// A backend server shed the request, which guarantees that it was not run.
    Shed,
    /// It was sent, and was or may have been run.
    Sent(Outcome),
}

/// State of one key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
    /// Earliest time at which it may be removed; `None` while the request runs here.
    pub(super) kept_until: Option<Time>,
}

/// Progress of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// It is in progress, here or at the home that handed it over.
    Running {
        /// Whether a backend server may have been sent a byte of it.
        sent: bool,
    },
    /// It has ended.
    Done(Outcome),
}

impl Record {
    /// Returns the memory of the record and its key, in bytes.
    pub(super) fn cost_bytes(&self, key: &IdempotencyKey) -> usize {
        let body = match &self.state {
            State::Running { .. } => 0,
            State::Done(outcome) => outcome.body_bytes(),
        };
        key_cost_bytes(key) + body
    }
}

/// Returns the memory of a key without a response, in bytes.
pub(super) fn key_cost_bytes(key: &IdempotencyKey) -> usize {
    OVERHEAD_BYTES + key.as_str().len()
}
