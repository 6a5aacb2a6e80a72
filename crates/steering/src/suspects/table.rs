//! The requests under which backend servers ended, and which of them are held back.

use super::correlation::Losses;
use super::crash::{End, ServerHash, Suspect};
use super::fingerprint::{Fingerprint, Fingerprints};
use super::successes::Sound;
use crate::Time;
use crate::placement::Incarnation;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Backend servers that must have ended under a request before it is held back: a sound one that is
/// offered twice in a try loses two at most while one other request ends servers.
pub const HELD_FROM: usize = 3;

/// Ends by which another request must exceed this one to explain them: one that comes along with it
/// by chance has fewer soon, and two that both end servers seldom differ by as many.
const EXPLAINS_FROM: usize = 2;

/// Ends that are recorded for one request.
pub const MOST_ENDS: usize = 16;

/// Fingerprints that are recorded: 25 servers that end at once with 20 requests each, in 300 kB.
pub const MOST_SUSPECTS: usize = 1_024;

/// Time after which a request is forgotten that did not come again: a broken caller that tries
/// each minute still meets an instance that knows, and what ends servers no more is soon released.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(600);

/// Time after which a caller whose request is held back may come again.
pub const RETRY_AFTER: Duration = FORGOTTEN_AFTER;

/// A request that is held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// What it is held back by.
    pub fingerprint: Fingerprint,
    /// Backend servers that ended under it, as far as they are recorded.
    pub ended: usize,
}

/// What became of the requests by something that was learned.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    /// Requests that are held back from now on, and the number of ends under each.
    pub held: Vec<(Fingerprint, usize)>,
    /// Requests that are held back no more.
    pub released: Vec<Fingerprint>,
    /// Whether the other instances should learn of it at once.
    pub is_urgent: bool,
}

/// The requests under which backend servers ended, as far as this instance knows.
#[derive(Debug, Default)]
pub struct Suspects {
    pub(super) by_request: HashMap<Fingerprint, Suspect>,
    held: HashSet<Fingerprint>,
    sound: Sound,
}

impl Suspects {
    /// Tells whether no request is recorded, so that none has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// The number of requests that are recorded.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// The requests that are held back, and the number of ends under each.
    pub fn held(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.held.iter().filter_map(|request| {
            self.by_request.get(request).map(|suspect| (*request, suspect.ends.len()))
        })
    }

    /// Records that a backend server ended while it had these requests.
    pub fn ended_under(
        &mut self,
        server: &Incarnation,
        requests: &[Fingerprints],
        now: Time,
    ) -> Changes {
        let end = End { server: ServerHash::from(server), at: now };
        let mut is_news = false;
        for request in requests.iter().flat_map(|it| it.all()) {
            let suspect = self.entry(request, now);
            suspect.seen_at = now;
            is_news |= suspect.add(end, MOST_ENDS, now);
        }
        let mut changes = self.settle();
        changes.is_urgent = is_news;
        changes
    }

    /// Records that a backend server answered a request: whatever ended before did not end of it.
    pub fn ran_well(&mut self, request: Fingerprints, now: Time) -> Changes {
        let mut is_news = false;
        for request in request.all() {
            self.sound.answered(request, now);
            let suspect = self.by_request.get_mut(&request);
            is_news |= suspect.is_some_and(|suspect| suspect.ran_well(now, now));
        }
        if !is_news {
            return Changes::default();
        }
        let mut changes = self.settle();
        changes.is_urgent = !changes.released.is_empty();
        changes
    }

    /// Tells whether a request that came, or is about to be offered, is held back.
    ///
    /// One that was answered here a short while ago is not: of several servers that die together,
    /// each may have had one that is asked for often.
    pub fn asked(&mut self, request: Fingerprints, now: Time) -> Option<Held> {
        let [content, with_caller] = request.all().map(|fingerprint| {
            let suspect = self.by_request.get_mut(&fingerprint)?;
            suspect.seen_at = now;
            let is_held = self.held.contains(&fingerprint) && !self.sound.holds(fingerprint, now);
            is_held.then_some(Held { fingerprint, ended: suspect.ends.len() })
        });
        content.or(with_caller)
    }

    /// Forgets requests that did not come for long.
    pub fn prune(&mut self, now: Time) -> Changes {
        let before = self.by_request.len();
        self.by_request.retain(|_, suspect| now.since(suspect.seen_at) < FORGOTTEN_AFTER);
        if self.by_request.len() == before { Changes::default() } else { self.settle() }
    }

    /// The record of a request; makes room for a new one by the one that is least worth keeping.
    pub(super) fn entry(&mut self, request: Fingerprint, now: Time) -> &mut Suspect {
        if self.by_request.len() >= MOST_SUSPECTS && !self.by_request.contains_key(&request) {
            let worth = |(request, suspect): (&Fingerprint, &Suspect)| {
                (self.held.contains(request), suspect.ends.len(), suspect.changed_at)
            };
            let least = self.by_request.iter().min_by_key(|it| worth(*it));
            if let Some(least) = least.map(|(request, _)| *request) {
                self.by_request.remove(&least);
            }
        }
        self.by_request.entry(request).or_insert_with(|| Suspect::new(now))
    }

    /// Decides anew which requests are held back, and tells what changed.
    pub(super) fn settle(&mut self) -> Changes {
        let losses = Losses::of(self.by_request.values());
        let under_many = self.by_request.iter().filter(|(_, it)| it.ends.len() >= HELD_FROM);
        let held: HashSet<Fingerprint> = under_many
            .filter(|(_, suspect)| losses.weight(suspect) >= HELD_FROM as f64)
            .filter(|(_, suspect)| !losses.is_one(suspect) && !self.is_explained(suspect))
            .map(|(request, _)| *request)
            .collect();
        let newly = held.difference(&self.held);
        let ends_of = |request| self.by_request.get(request).map_or(0, |it| it.ends.len());
        let changes = Changes {
            held: newly.map(|request| (*request, ends_of(request))).collect(),
            released: self.held.difference(&held).copied().collect(),
            is_urgent: false,
        };
        self.held = held;
        changes
    }

    /// Tells whether another request was there at each end of this one, and at more.
    fn is_explained(&self, suspect: &Suspect) -> bool {
        let more = suspect.ends.len() + EXPLAINS_FROM;
        let others = self.by_request.values().filter(|other| other.ends.len() >= more);
        others.into_iter().any(|other| suspect.is_within(other))
    }
}
