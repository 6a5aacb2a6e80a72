//! What is known of one instance.

use super::{Description, DescriptionVersion, Listed, MemberState, Status};
use crate::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an instance out of reach counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(10);

/// Time for which an instance counts as back.
const BACK_FOR: Duration = Duration::from_secs(10);

/// Time for which an instance that the platform does not list is used after it described itself.
const UNLISTED_TRUST: Duration = Duration::from_secs(60);

/// Time for which a dead instance is remembered, so that its old descriptions are not taken.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// Failed calls after which an instance that took a connection counts as out of reach.
const MAX_FAILURES: u32 = 2;

/// Time for which a call that succeeded counts for more than what others say.
const DIRECT_TRUST: Duration = Duration::from_secs(2);

/// What the platform's list says.
#[derive(Clone, Debug)]
enum Listing {
    Never,
    Present(Listed),
    Removed(Time),
}

/// The last description of an instance.
#[derive(Clone, Debug)]
pub(super) struct Described<P> {
    pub(super) description: Arc<Description<P>>,
    /// When the instance described itself so, by our clock.
    pub(super) at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Suspected {
    version: DescriptionVersion,
    since: Time,
}

/// What is known of one instance.
#[derive(Clone, Debug)]
pub(super) struct Record<P> {
    pub(super) availability_zone: Arc<str>,
    listing: Listing,
    pub(super) described: Option<Described<P>>,
    /// What others or we say of it, until it describes itself anew.
    suspected: Option<Suspected>,
    /// What our own calls say, until one succeeds.
    unreachable_since: Option<Time>,
    failures: u32,
    reached_at: Option<Time>,
    returned_at: Option<Time>,
}

impl<P> Record<P> {
    pub(super) fn new(availability_zone: Arc<str>) -> Self {
        Self {
            availability_zone,
            listing: Listing::Never,
            described: None,
            suspected: None,
            unreachable_since: None,
            failures: 0,
            reached_at: None,
            returned_at: None,
        }
    }

    /// Returns the state at `now`.
    pub(super) fn state(&self, now: Time) -> MemberState {
        if let Some(since) = self.down_since() {
            let dead = now.since(since) >= DEAD_AFTER;
            return if dead { MemberState::Dead } else { MemberState::Suspected };
        }
        match &self.listing {
            Listing::Removed(at) if now.since(*at) >= DEAD_AFTER => return MemberState::Dead,
            Listing::Removed(_) => return MemberState::Draining,
            Listing::Present(listed) if listed.leaving => return MemberState::Draining,
            Listing::Never if !self.is_fresh(now) => return MemberState::Draining,
            Listing::Never | Listing::Present(_) => {}
        }
        match self.described.as_ref().map(|described| described.description.status) {
            None => MemberState::Listed,
            Some(Status::Joining) => MemberState::Joining,
            Some(Status::Draining) => MemberState::Draining,
            Some(Status::Serving) if self.is_back(now) => MemberState::Back,
            Some(Status::Serving) => MemberState::Serving,
        }
    }

    /// Returns the version of the last description, the lowest one if there is none.
    pub(super) fn version(&self) -> DescriptionVersion {
        let described = self.described.as_ref();
        described.map(|described| described.description.version).unwrap_or_default()
    }

    /// Returns the address for callers.
    pub(super) fn caller_address(&self) -> Option<SocketAddr> {
        self.address(|description| description.caller_address, |listed| listed.caller_address)
    }

    /// Returns the address for peers.
    pub(super) fn peer_address(&self) -> Option<SocketAddr> {
        self.address(|description| description.peer_address, |listed| listed.peer_address)
    }

    /// Takes what the platform's list says.
    pub(super) fn list(&mut self, listed: Listed) {
        self.listing = Listing::Present(listed);
    }

    /// Takes note that the platform's list holds the instance no more.
    pub(super) fn delist(&mut self, now: Time) {
        if matches!(self.listing, Listing::Present(_)) {
            self.listing = Listing::Removed(now);
        }
    }

    /// Takes a description, if it is later than the last one.
    ///
    /// What our own calls say goes on to count inside our own availability zone. Between
    /// availability zones they fail when links are cut, which is kept for each availability zone.
    pub(super) fn describe(
        &mut self,
        now: Time,
        description: Arc<Description<P>>,
        at: Time,
        inside: bool,
    ) -> bool {
        let known = self.described.is_some();
        if known && description.version <= self.version() {
            return false;
        }
        let restarted = known && description.version.generation > self.version().generation;
        let was_down = self.down_since().is_some();
        if self.suspected.is_some_and(|suspected| suspected.version < description.version) {
            self.suspected = None;
        }
        if restarted || !inside {
            self.give_new_chance();
        }
        self.described = Some(Described { description, at });
        self.note_return(now, was_down);
        true
    }

    /// Takes a suspicion; returns whether it is news.
    pub(super) fn suspect(&mut self, now: Time, version: DescriptionVersion) -> bool {
        let refuted = version < self.version();
        let known = self.suspected.is_some_and(|suspected| suspected.version >= version);
        let reached = self.reached_at.is_some_and(|at| now.since(at) < DIRECT_TRUST);
        if refuted || known || reached {
            return false;
        }
        let since = self.down_since().unwrap_or(now);
        self.suspected = Some(Suspected { version, since });
        true
    }

    /// Returns the version that is suspected.
    pub(super) fn suspected(&self) -> Option<DescriptionVersion> {
        self.suspected.map(|suspected| suspected.version)
    }

    /// Takes note of a call that failed; returns whether the instance is out of reach by now and
    /// was not before.
    pub(super) fn failed(&mut self, now: Time, no_connection: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let out_of_reach = no_connection || self.failures >= MAX_FAILURES;
        if !out_of_reach || self.unreachable_since.is_some() {
            return false;
        }
        self.unreachable_since = Some(now);
        self.reached_at = None;
        true
    }

    /// Forgets what our own calls said.
    pub(super) fn give_new_chance(&mut self) {
        self.failures = 0;
        self.unreachable_since = None;
    }

    /// Takes note of a call from or to the instance that succeeded.
    pub(super) fn reached(&mut self, now: Time) {
        let was_down = self.down_since().is_some();
        self.give_new_chance();
        self.suspected = None;
        self.reached_at = Some(now);
        self.note_return(now, was_down);
    }

    /// Tells whether a call failed and the next one decides.
    pub(super) fn is_doubtful(&self) -> bool {
        self.failures > 0 && self.unreachable_since.is_none()
    }

    /// Tells whether the instance was removed and need not be called any more.
    pub(super) fn is_gone(&self, now: Time) -> bool {
        matches!(self.listing, Listing::Removed(_)) && self.state(now) == MemberState::Dead
    }

    /// Tells whether the instance may be forgotten.
    pub(super) fn is_forgotten(&self, now: Time) -> bool {
        let removed_at = match &self.listing {
            Listing::Present(_) => return false,
            Listing::Removed(at) => Some(*at),
            Listing::Never => None,
        };
        let gone_since = removed_at.or(self.down_since());
        gone_since.is_some_and(|since| now.since(since) >= FORGET_AFTER)
    }

    fn address(
        &self,
        described: impl Fn(&Description<P>) -> SocketAddr,
        listed: impl Fn(&Listed) -> SocketAddr,
    ) -> Option<SocketAddr> {
        let of_list = match &self.listing {
            Listing::Present(entry) => Some(listed(entry)),
            Listing::Never | Listing::Removed(_) => None,
        };
        self.described.as_ref().map(|own| described(&own.description)).or(of_list)
    }

    fn note_return(&mut self, now: Time, was_down: bool) {
        if was_down && self.down_since().is_none() {
            self.returned_at = Some(now);
        }
    }

    fn down_since(&self) -> Option<Time> {
        let suspected = self.suspected.map(|suspected| suspected.since);
        suspected.into_iter().chain(self.unreachable_since).min()
    }

    fn is_fresh(&self, now: Time) -> bool {
        let described_at = self.described.as_ref().map(|described| described.at);
        described_at.max(self.reached_at).is_some_and(|at| now.since(at) < UNLISTED_TRUST)
    }

    fn is_back(&self, now: Time) -> bool {
        self.returned_at.is_some_and(|at| now.since(at) < BACK_FOR)
    }
}
