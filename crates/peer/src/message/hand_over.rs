//! Hand-over of an idempotency key ledger to a successor.

use bytes::Bytes;
use std::sync::Arc;

/// A part of the ledger of a stopping home instance.
#[derive(Clone, Debug, PartialEq)]
pub struct HandOverRequest {
    /// Incarnation that owns the keys.
    pub home: u64,
    /// Incarnation that takes the keys over; any other rejects the request.
    pub successor: u64,
    /// Requests with keys issued before this are never run, in milliseconds since the Unix epoch.
    pub horizon_ms: u64,
    /// Index of the part, from 0.
    pub part: u32,
    /// Whether this part completes the list of the home's keys; later parts only carry outcomes of
    /// requests that were in progress.
    pub last: bool,
    /// Keys and their outcomes.
    pub records: Vec<KeyRecord>,
}

/// An idempotency key and the outcome of its request.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The key.
    pub key: Arc<str>,
    /// Fingerprint of the request's method and path.
    pub fingerprint: u64,
    /// Remaining retention of the record, in milliseconds.
    pub keep_ms: u64,
    /// Outcome of the request.
    pub outcome: KeyOutcome,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// It completed, and the response can be replayed.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of `Content-Type`; empty when absent.
        content_type: Arc<str>,
        /// The complete body.
        body: Bytes,
    },
    /// It was run, and the response was too large to store.
    Ran,
    /// It may have been run.
    Unknown,
    /// It is in progress at the home.
    InProgress,
    /// It was in progress and ended without being run.
    NotRun,
}

/// Reply to a [`HandOverRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandOverReply {
    /// Whether the successor took the part over.
    pub accepted: bool,
}
