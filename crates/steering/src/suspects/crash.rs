//! The backend servers that ended under one request.

use crate::Time;
use crate::placement::Incarnation;
use crate::placement::rank::{name_hash, rank};
use serde::{Deserialize, Serialize};

/// One start of one backend server, in four bytes: two of 16 under one request are alike once in 36
/// million requests, and then count as one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerHash([u8; 4]);

impl From<&Incarnation> for ServerHash {
    fn from(Incarnation { id, born_ms }: &Incarnation) -> Self {
        Self((rank(*born_ms, name_hash(id)) as u32).to_le_bytes())
    }
}

/// A backend server that ended under a request.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Which one.
    pub server: ServerHash,
    /// When an instance found that it had ended, as far as this one can tell.
    pub at: Time,
}

/// What is known of one request under which backend servers ended.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) ends: Vec<End>,
    /// When it came last, to any instance that told of it.
    pub(super) seen_at: Time,
    /// When a backend server answered it last: what ended before did not end of it.
    pub(super) well_at: Option<Time>,
    /// When something of this became known here.
    pub(super) changed_at: Time,
}

impl Suspect {
    pub(super) fn new(now: Time) -> Self {
        Self { ends: Vec::new(), seen_at: now, well_at: None, changed_at: now }
    }

    /// Records an end, unless it is known, came before the request ran well, or there are `most`;
    /// returns whether it was news.
    ///
    /// An end that is told on seems later by each way it took, so the earliest time holds.
    pub(super) fn add(&mut self, end: End, most: usize, now: Time) -> bool {
        if self.well_at.is_some_and(|well_at| end.at <= well_at) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.server == end.server) {
            known.at = known.at.min(end.at);
            return false;
        }
        if self.ends.len() >= most {
            return false;
        }
        self.ends.push(end);
        self.changed_at = now;
        true
    }

    /// Records that the request ran well at a time; returns whether that was news.
    pub(super) fn ran_well(&mut self, at: Time, now: Time) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| end.at > at);
        self.well_at = self.well_at.max(Some(at));
        let is_news = self.ends.len() < before;
        if is_news {
            self.changed_at = now;
        }
        is_news
    }

    /// Tells whether the server is one that ended under it.
    pub(super) fn has(&self, server: ServerHash) -> bool {
        self.ends.iter().any(|end| end.server == server)
    }

    /// The times of its first and its last end.
    pub(super) fn span(&self) -> Option<(Time, Time)> {
        let times = || self.ends.iter().map(|end| end.at);
        times().min().zip(times().max())
    }

    /// Tells whether each of its ends is one of `other`'s too.
    pub(super) fn is_within(&self, other: &Self) -> bool {
        self.ends.iter().all(|end| other.has(end.server))
    }
}
