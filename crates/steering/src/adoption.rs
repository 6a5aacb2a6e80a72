//! Decides which configuration version an instance fetches, from which source, and when it
//! activates the version.
//!
//! The active number only increases. A new instance first asks the platform and some peers, and
//! activates the highest version that they have. If the platform is unreachable, the peers suffice;
//! if no source is reachable, the instance doesn't serve.

mod joining;

use crate::Time;
use joining::Joining;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Most concurrent fetches, apart from those of a new instance.
const MAX_FETCHES: usize = 2;

/// Time after which a running fetch no longer prevents a fetch of the same version elsewhere.
const SLOW_FETCH: Duration = Duration::from_secs(1);

/// Time for which an unreachable source is not asked again.
const SOURCE_BACKOFF: Duration = Duration::from_secs(1);

/// First delay before a version that failed to load is fetched again; it doubles each time.
const INITIAL_LOAD_BACKOFF: Duration = Duration::from_secs(2);

/// Longest delay before a version that failed to load is fetched again.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(64);

/// Most sources whose offers are kept.
const MAX_OFFERS: usize = 32;

/// Source of a version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The platform's object API.
    Platform,
    /// Another instance, by name.
    Peer(Arc<str>),
}

/// Action for the caller to take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch the newest version from the source and load it.
    Fetch(Source),
    /// Activate the loaded version with this number.
    Activate(u64),
}

/// Why an instance without an active version doesn't serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotServing {
    /// The platform or peers haven't answered yet.
    Waiting,
    /// The platform has no accepted version, and neither has any peer that answered.
    NothingAccepted,
    /// Neither the platform nor any peer is reachable.
    NoSourceReachable,
    /// The available version fails to load.
    LoadFailed,
}

/// Configuration state of one incarnation of an instance.
#[derive(Clone, Debug)]
pub struct Adoption {
    active_number: u64,
    loaded: u64,
    joining: Option<Joining>,
    offers: BTreeMap<Source, u64>,
    fetches: BTreeMap<Source, Fetch>,
    backoff_until: BTreeMap<Source, Time>,
    failed_load: Option<FailedLoad>,
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    number: u64,
    started_at: Time,
}

/// A version that failed to load.
#[derive(Clone, Copy, Debug)]
struct FailedLoad {
    number: u64,
    retry_at: Time,
    backoff: Duration,
}

impl Adoption {
    /// Creates the state of a new instance, with the actions that ask the platform and `peers`.
    pub fn join(now: Time, peers: impl IntoIterator<Item = Arc<str>>) -> (Self, Vec<Action>) {
        let peers: Vec<Source> = peers.into_iter().map(Source::Peer).collect();
        let sources = std::iter::once(Source::Platform).chain(peers.iter().cloned());
        let adoption = Self {
            active_number: 0,
            loaded: 0,
            joining: Some(Joining::new(now, peers.clone())),
            offers: BTreeMap::new(),
            fetches: sources
                .clone()
                .map(|source| (source, Fetch { number: 0, started_at: now }))
                .collect(),
            backoff_until: BTreeMap::new(),
            failed_load: None,
        };
        (adoption, sources.map(Action::Fetch).collect())
    }

    /// Returns the number of the active version; 0 for none.
    pub fn active_number(&self) -> u64 {
        self.active_number
    }

    /// Returns why no version is active; `None` once one is.
    pub fn not_serving_reason(&self) -> Option<NotServing> {
        let joining = self.joining.as_ref()?;
        match (self.loaded, self.failed_load) {
            (0, Some(_)) => Some(NotServing::LoadFailed),
            (loaded, _) => Some(joining.not_serving_reason(loaded)),
        }
    }

    /// Records that a source offers the version with `number`.
    pub fn record_offer(&mut self, now: Time, source: Source, number: u64) -> Vec<Action> {
        if number > self.loaded {
            self.offers.insert(source, number);
            self.evict_lowest_offer();
        }
        self.start_next_fetch(now)
    }

    /// Handles a version from `source` that passed all checks and is loaded.
    pub fn on_loaded(&mut self, now: Time, source: &Source, number: u64) -> Vec<Action> {
        self.end_fetch(source, true);
        self.loaded = self.loaded.max(number);
        let loaded = self.loaded;
        self.offers.retain(|_, offered| *offered > loaded);
        if self.failed_load.is_some_and(|failed_load| failed_load.number <= loaded) {
            self.failed_load = None;
        }
        self.next_actions(now)
    }

    /// Handles the response that the source has no newer version than the loaded one.
    pub fn on_nothing_newer(&mut self, now: Time, source: &Source) -> Vec<Action> {
        self.end_fetch(source, true);
        self.offers.remove(source);
        self.next_actions(now)
    }

    /// Handles a source that could not be reached or closed the connection early.
    pub fn on_unreachable(&mut self, now: Time, source: &Source) -> Vec<Action> {
        self.end_fetch(source, false);
        self.backoff_until.insert(source.clone(), now + SOURCE_BACKOFF);
        self.next_actions(now)
    }

    /// Handles a version that failed to load; the active version stays active.
    pub fn on_load_failed(&mut self, now: Time, source: &Source, number: u64) -> Vec<Action> {
        self.end_fetch(source, true);
        let previous = self.failed_load.filter(|failed_load| failed_load.number == number);
        let backoff = previous
            .map_or(INITIAL_LOAD_BACKOFF, |previous| (previous.backoff * 2).min(MAX_LOAD_BACKOFF));
        if self.failed_load.is_none_or(|failed_load| failed_load.number <= number) {
            self.failed_load = Some(FailedLoad { number, retry_at: now + backoff, backoff });
        }
        self.next_actions(now)
    }

    /// Continues after time has passed: expired backoffs allow new fetches.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.next_actions(now)
    }

    fn end_fetch(&mut self, source: &Source, answered: bool) {
        self.fetches.remove(source);
        if let Some(joining) = &mut self.joining {
            joining.record_end(source, answered);
        }
    }

    fn next_actions(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let may_serve = self.joining.as_ref().is_none_or(|joining| joining.is_complete(now));
        if may_serve && self.loaded > self.active_number {
            self.active_number = self.loaded;
            self.joining = None;
            actions.push(Action::Activate(self.active_number));
        }
        actions.extend(self.start_next_fetch(now));
        actions
    }

    /// Fetches from the source with the highest number, unless that version is being fetched.
    fn start_next_fetch(&mut self, now: Time) -> Vec<Action> {
        self.backoff_until.retain(|_, until| *until > now);
        let loaded = self.loaded;
        let rejected = self.failed_load.filter(|failed_load| failed_load.retry_at > now);
        let wanted = |number: u64| {
            number > loaded && rejected.is_none_or(|failed_load| number > failed_load.number)
        };
        let is_available = |source: &Source| {
            !self.fetches.contains_key(source) && !self.backoff_until.contains_key(source)
        };
        let offers =
            self.offers.iter().filter(|(source, number)| wanted(**number) && is_available(source));
        let Some((source, number)) = offers.max_by_key(|(_, number)| **number) else {
            return Vec::new();
        };
        let is_being_fetched =
            |fetch: &Fetch| fetch.number >= *number && now.since(fetch.started_at) < SLOW_FETCH;
        if self.fetches.len() >= MAX_FETCHES || self.fetches.values().any(is_being_fetched) {
            return Vec::new();
        }
        let source = source.clone();
        self.fetches.insert(source.clone(), Fetch { number: *number, started_at: now });
        vec![Action::Fetch(source)]
    }

    fn evict_lowest_offer(&mut self) {
        if self.offers.len() > MAX_OFFERS {
            let lowest = self.offers.iter().min_by_key(|(_, number)| **number);
            if let Some(source) = lowest.map(|(source, _)| source.clone()) {
                self.offers.remove(&source);
            }
        }
    }
}
