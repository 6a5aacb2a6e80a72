//! Which configuration version an instance fetches, from whom, and when it puts it in force.
//!
//! The number in force only grows.  A new instance first asks the platform and some peers, and
//! puts the highest of what they have in force; with the platform out of reach the peers suffice,
//! with nobody in reach it does not serve.

mod joining;

use crate::Time;
use joining::Joining;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Fetches that run at once.
const MAX_FETCHES: usize = 2;

/// Time after which a running fetch no longer keeps another source from being asked.
const SLOW_FETCH: Duration = Duration::from_secs(1);

/// Time for which a source that failed is not asked again.
const SOURCE_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a version that did not load is left alone at first; it doubles each time.
const FIRST_REFUSAL: Duration = Duration::from_secs(2);

/// Longest time for which a version that did not load is left alone.
const MAX_REFUSAL: Duration = Duration::from_secs(64);

/// Sources whose offers are remembered.
const MAX_OFFERS: usize = 32;

/// Where a version can be had from.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The platform's object API.
    Platform,
    /// Another instance, by name.
    Peer(Arc<str>),
}

/// What the instance has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch the newest version that the source has, and load it.
    Fetch(Source),
    /// Put the loaded version with this number in force.
    PutInForce(u64),
}

/// Why an instance that has no version yet does not serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotServing {
    /// The platform or peers have not answered yet.
    Waiting,
    /// The platform has no accepted version, and no peer that answered has one.
    NothingAccepted,
    /// Neither the platform nor any peer can be reached.
    NobodyInReach,
    /// The version that there is does not load.
    DoesNotLoad,
}

/// The state of one life of an instance.
#[derive(Clone, Debug)]
pub struct Adoption {
    in_force: u64,
    loaded: u64,
    joining: Option<Joining>,
    offers: BTreeMap<Source, u64>,
    fetches: BTreeMap<Source, Fetch>,
    paused: BTreeMap<Source, Time>,
    refusal: Option<Refusal>,
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    number: u64,
    started: Time,
}

/// A version that did not load.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    number: u64,
    until: Time,
    pause: Duration,
}

impl Adoption {
    /// Starts a life that asks the platform and `peers` what they have.
    pub fn join(now: Time, peers: impl IntoIterator<Item = Arc<str>>) -> (Self, Vec<Action>) {
        let peers: Vec<Source> = peers.into_iter().map(Source::Peer).collect();
        let sources = std::iter::once(Source::Platform).chain(peers.iter().cloned());
        let adoption = Self {
            in_force: 0,
            loaded: 0,
            joining: Some(Joining::new(now, peers.clone())),
            offers: BTreeMap::new(),
            fetches: sources
                .clone()
                .map(|source| (source, Fetch { number: 0, started: now }))
                .collect(),
            paused: BTreeMap::new(),
            refusal: None,
        };
        (adoption, sources.map(Action::Fetch).collect())
    }

    /// Returns the number in force; 0 for none.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns why nothing is in force; `None` once something is.
    pub fn not_serving(&self) -> Option<NotServing> {
        let joining = self.joining.as_ref()?;
        match (self.loaded, self.refusal) {
            (0, Some(_)) => Some(NotServing::DoesNotLoad),
            (loaded, _) => Some(joining.not_serving(loaded)),
        }
    }

    /// A source says that it has the version with `number`.
    pub fn heard(&mut self, now: Time, source: Source, number: u64) -> Vec<Action> {
        if number > self.loaded {
            self.offers.insert(source, number);
            self.forget_lowest_offer();
        }
        self.fetch_next(now)
    }

    /// The version with `number`, which came from `source`, is loaded: all its checks passed.
    pub fn loaded(&mut self, now: Time, source: &Source, number: u64) -> Vec<Action> {
        self.ended(source, true);
        self.loaded = self.loaded.max(number);
        let loaded = self.loaded;
        self.offers.retain(|_, offered| *offered > loaded);
        if self.refusal.is_some_and(|refusal| refusal.number <= loaded) {
            self.refusal = None;
        }
        self.proceed(now)
    }

    /// The source answered that it has nothing newer than what is loaded.
    pub fn nothing_newer(&mut self, now: Time, source: &Source) -> Vec<Action> {
        self.ended(source, true);
        self.offers.remove(source);
        self.proceed(now)
    }

    /// The source could not be reached, or broke off.
    pub fn unreachable(&mut self, now: Time, source: &Source) -> Vec<Action> {
        self.ended(source, false);
        self.paused.insert(source.clone(), now + SOURCE_PAUSE);
        self.proceed(now)
    }

    /// The version with `number` did not load, so that the last good one stays in force.
    pub fn refused(&mut self, now: Time, source: &Source, number: u64) -> Vec<Action> {
        self.ended(source, true);
        let before = self.refusal.filter(|refusal| refusal.number == number);
        let pause = before.map_or(FIRST_REFUSAL, |before| (before.pause * 2).min(MAX_REFUSAL));
        if self.refusal.is_none_or(|refusal| refusal.number <= number) {
            self.refusal = Some(Refusal { number, until: now + pause, pause });
        }
        self.proceed(now)
    }

    /// Time passed: sources that were left alone may be asked again.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.proceed(now)
    }

    fn ended(&mut self, source: &Source, answered: bool) {
        self.fetches.remove(source);
        if let Some(joining) = &mut self.joining {
            joining.ended(source, answered);
        }
    }

    fn proceed(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let may_serve = self.joining.as_ref().is_none_or(|joining| joining.is_complete(now));
        if may_serve && self.loaded > self.in_force {
            self.in_force = self.loaded;
            self.joining = None;
            actions.push(Action::PutInForce(self.in_force));
        }
        actions.extend(self.fetch_next(now));
        actions
    }

    /// Asks the source with the highest number, unless that version is on its way already.
    fn fetch_next(&mut self, now: Time) -> Vec<Action> {
        self.paused.retain(|_, until| *until > now);
        let loaded = self.loaded;
        let refused = self.refusal.filter(|refusal| refusal.until > now);
        let wanted =
            |number: u64| number > loaded && refused.is_none_or(|refusal| number > refusal.number);
        let free = |source: &Source| {
            !self.fetches.contains_key(source) && !self.paused.contains_key(source)
        };
        let offers = self.offers.iter().filter(|(source, number)| wanted(**number) && free(source));
        let Some((source, number)) = offers.max_by_key(|(_, number)| **number) else {
            return Vec::new();
        };
        let on_its_way =
            |fetch: &Fetch| fetch.number >= *number && now.since(fetch.started) < SLOW_FETCH;
        if self.fetches.len() >= MAX_FETCHES || self.fetches.values().any(on_its_way) {
            return Vec::new();
        }
        let source = source.clone();
        self.fetches.insert(source.clone(), Fetch { number: *number, started: now });
        vec![Action::Fetch(source)]
    }

    fn forget_lowest_offer(&mut self) {
        if self.offers.len() > MAX_OFFERS {
            let lowest = self.offers.iter().min_by_key(|(_, number)| **number);
            if let Some(source) = lowest.map(|(source, _)| source.clone()) {
                self.offers.remove(&source);
            }
        }
    }
}
