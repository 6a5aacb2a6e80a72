//! The backend servers that crashed while they ran one request.

use crate::Time;
use crate::placement::Incarnation;
use crate::placement::rank::{name_hash, rank};
use serde::{Deserialize, Serialize};

/// Hash of one incarnation of a backend server.
///
/// With four bytes, two of the 16 servers recorded for a request collide once in 36 million
/// requests, and then count as one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerHash([u8; 4]);

impl From<&Incarnation> for ServerHash {
    fn from(Incarnation { id, started_ms }: &Incarnation) -> Self {
        Self((rank(*started_ms, name_hash(id)) as u32).to_le_bytes())
    }
}

/// The crash of a backend server that was running a request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// The server.
    pub server: ServerHash,
    /// Time at which an instance detected the crash, estimated if another instance reported it.
    pub detected_at: Time,
}

/// The crashes recorded for one request.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) crashes: Vec<Crash>,
    /// Time of the last request, at any instance that reported it.
    pub(super) last_seen_at: Time,
    /// Time of the last response by a backend server: the request did not cause earlier crashes.
    pub(super) last_success_at: Option<Time>,
    /// Time at which this instance last changed the crashes.
    pub(super) changed_at: Time,
}

impl Suspect {
    pub(super) fn new(now: Time) -> Self {
        Self { crashes: Vec::new(), last_seen_at: now, last_success_at: None, changed_at: now }
    }

    /// Records a crash, unless it is known, precedes the last success, or `max_crashes` are
    /// recorded; returns whether it was recorded.
    ///
    /// Each hop of a report makes the crash seem later, so the earliest time is kept.
    pub(super) fn add_crash(&mut self, crash: Crash, max_crashes: usize, now: Time) -> bool {
        if self.last_success_at.is_some_and(|success_at| crash.detected_at <= success_at) {
            return false;
        }
        if let Some(existing) =
            self.crashes.iter_mut().find(|existing| existing.server == crash.server)
        {
            existing.detected_at = existing.detected_at.min(crash.detected_at);
            return false;
        }
        if self.crashes.len() >= max_crashes {
            return false;
        }
        self.crashes.push(crash);
        self.changed_at = now;
        true
    }

    /// Records a successful run at a time; returns whether this removed crashes.
    pub(super) fn record_success(&mut self, at: Time, now: Time) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.detected_at > at);
        self.last_success_at = self.last_success_at.max(Some(at));
        let is_changed = self.crashes.len() < before;
        if is_changed {
            self.changed_at = now;
        }
        is_changed
    }

    /// Returns whether the server crashed while it ran the request.
    pub(super) fn has_crash_of(&self, server: ServerHash) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Returns the times of the first and the last crash.
    pub(super) fn crash_span(&self) -> Option<(Time, Time)> {
        let times = || self.crashes.iter().map(|crash| crash.detected_at);
        times().min().zip(times().max())
    }

    /// Returns whether each crash is also recorded for `other`.
    pub(super) fn is_subset_of(&self, other: &Self) -> bool {
        self.crashes.iter().all(|crash| other.has_crash_of(crash.server))
    }
}
