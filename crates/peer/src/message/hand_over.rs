//! Handing a ledger of idempotency keys to a successor.

use bytes::Bytes;
use std::sync::Arc;

/// A part of the ledger of a home that stops.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverRequest {
    /// The incarnation whose keys these are.
    pub home: u64,
    /// The incarnation that is to take them over; any other refuses.
    pub successor: u64,
    /// Keys issued before this are never run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
    /// Position of the part, from 0.
    pub part: u32,
    /// Whether every key of the home is known with this part; further parts only bring outcomes
    /// of requests that were in progress.
    pub last: bool,
    /// Keys and their outcomes.
    pub records: Vec<KeyRecord>,
}

/// A key and what became of its request.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The key.
    pub key: Arc<str>,
    /// Fingerprint of the request's method and path.
    pub fingerprint: u64,
    /// How long the record is to be kept, in milliseconds.
    pub keep_ms: u64,
    /// What became of it.
    pub outcome: KeyOutcome,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// It was answered, and the answer can be given again.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of `Content-Type`; empty when there was none.
        content_type: Arc<str>,
        /// The whole body.
        body: Bytes,
    },
    /// It was run, and the answer was too large to keep.
    Ran,
    /// It may have been run.
    Unknown,
    /// It is in progress at the home.
    InProgress,
    /// It was in progress, and ended without being run.
    NotRun,
}

/// Whether the records are taken over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandOverReply {
    /// Whether the successor keeps the part.
    pub accepted: bool,
}
