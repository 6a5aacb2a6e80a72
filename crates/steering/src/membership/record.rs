//! State tracked for one instance.

use super::{Description, DescriptionVersion, Listed, MemberState, Status};
use crate::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unreachable or removed instance counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(10);

/// Time for which a recovered instance stays in the state [`MemberState::Back`].
const BACK_DURATION: Duration = Duration::from_secs(10);

/// Time without a description or a successful call after which an instance that the platform has
/// never listed counts as draining.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a removed or dead instance is kept, so that its old descriptions are rejected.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// Failed calls after which an instance that accepted a connection counts as unreachable.
const MAX_FAILURES: u32 = 2;

/// Time after a successful call during which suspicions from other instances are ignored.
const DIRECT_CONTACT_WINDOW: Duration = Duration::from_secs(2);

/// State of the instance in the platform's list.
#[derive(Clone, Debug)]
enum Listing {
    Never,
    Present(Listed),
    Removed(Time),
}

/// The last description of an instance.
#[derive(Clone, Debug)]
pub(super) struct LastDescription<P> {
    pub(super) description: Arc<Description<P>>,
    /// When the instance made the description, by the local clock.
    pub(super) described_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Suspected {
    version: DescriptionVersion,
    since: Time,
}

/// Everything known about one instance.
#[derive(Clone, Debug)]
pub(super) struct Record<P> {
    pub(super) availability_zone: Arc<str>,
    listing: Listing,
    pub(super) described: Option<LastDescription<P>>,
    /// Suspicion by this or another instance, until a newer description refutes it.
    suspected: Option<Suspected>,
    /// When the instance became unreachable for local calls; `None` after a success.
    unreachable_since: Option<Time>,
    failures: u32,
    last_success_at: Option<Time>,
    recovered_at: Option<Time>,
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
            last_success_at: None,
            recovered_at: None,
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
            Listing::Never if !self.has_recent_contact(now) => return MemberState::Draining,
            Listing::Never | Listing::Present(_) => {}
        }
        match self.described.as_ref().map(|described| described.description.status) {
            None => MemberState::Listed,
            Some(Status::Joining) => MemberState::Joining,
            Some(Status::Draining) => MemberState::Draining,
            Some(Status::Serving) if self.has_recovered_recently(now) => MemberState::Back,
            Some(Status::Serving) => MemberState::Serving,
        }
    }

    /// Returns the version of the last description, or the lowest version if there is none.
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

    /// Records the instance's entry in the platform's list.
    pub(super) fn set_listed(&mut self, listed: Listed) {
        self.listing = Listing::Present(listed);
    }

    /// Records that the instance has disappeared from the platform's list.
    pub(super) fn set_removed(&mut self, now: Time) {
        if matches!(self.listing, Listing::Present(_)) {
            self.listing = Listing::Removed(now);
        }
    }

    /// Stores a description if it is newer than the last one; returns whether it was stored.
    ///
    /// In the own availability zone, failures of local calls still count afterwards. Calls to other
    /// availability zones also fail when a link is cut, which is tracked per availability zone, so
    /// a newer description resets their failures.
    pub(super) fn update_description(
        &mut self,
        now: Time,
        description: Arc<Description<P>>,
        described_at: Time,
        in_own_zone: bool,
    ) -> bool {
        let has_description = self.described.is_some();
        if has_description && description.version <= self.version() {
            return false;
        }
        let restarted =
            has_description && description.version.generation > self.version().generation;
        let was_down = self.down_since().is_some();
        if self.suspected.is_some_and(|suspected| suspected.version < description.version) {
            self.suspected = None;
        }
        if restarted || !in_own_zone {
            self.reset_failures();
        }
        self.described = Some(LastDescription { description, described_at });
        self.update_recovery(now, was_down);
        true
    }

    /// Records a suspicion; returns whether it was new.
    pub(super) fn suspect(&mut self, now: Time, version: DescriptionVersion) -> bool {
        let refuted = version < self.version();
        let is_known = self.suspected.is_some_and(|suspected| suspected.version >= version);
        let in_contact =
            self.last_success_at.is_some_and(|at| now.since(at) < DIRECT_CONTACT_WINDOW);
        if refuted || is_known || in_contact {
            return false;
        }
        let since = self.down_since().unwrap_or(now);
        self.suspected = Some(Suspected { version, since });
        true
    }

    /// Returns the description version that the current suspicion refers to.
    pub(super) fn suspected_version(&self) -> Option<DescriptionVersion> {
        self.suspected.map(|suspected| suspected.version)
    }

    /// Records a failed call; returns whether the instance became unreachable by it.
    pub(super) fn record_failure(&mut self, now: Time, no_connection: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_unreachable = no_connection || self.failures >= MAX_FAILURES;
        if !is_unreachable || self.unreachable_since.is_some() {
            return false;
        }
        self.unreachable_since = Some(now);
        self.last_success_at = None;
        true
    }

    /// Clears the failures of local calls.
    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
        self.unreachable_since = None;
    }

    /// Records a successful call from or to the instance.
    pub(super) fn record_success(&mut self, now: Time) {
        let was_down = self.down_since().is_some();
        self.reset_failures();
        self.suspected = None;
        self.last_success_at = Some(now);
        self.update_recovery(now, was_down);
    }

    /// Returns whether a call has failed but too few to count the instance as unreachable.
    pub(super) fn has_unconfirmed_failure(&self) -> bool {
        self.failures > 0 && self.unreachable_since.is_none()
    }

    /// Returns whether the instance is dead after its removal from the list, so that it need not be
    /// called any more.
    pub(super) fn is_removed_and_dead(&self, now: Time) -> bool {
        matches!(self.listing, Listing::Removed(_)) && self.state(now) == MemberState::Dead
    }

    /// Returns whether the record may be dropped.
    pub(super) fn is_expired(&self, now: Time) -> bool {
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
        let list_address = match &self.listing {
            Listing::Present(entry) => Some(listed(entry)),
            Listing::Never | Listing::Removed(_) => None,
        };
        self.described.as_ref().map(|own| described(&own.description)).or(list_address)
    }

    fn update_recovery(&mut self, now: Time, was_down: bool) {
        if was_down && self.down_since().is_none() {
            self.recovered_at = Some(now);
        }
    }

    fn down_since(&self) -> Option<Time> {
        let suspected = self.suspected.map(|suspected| suspected.since);
        suspected.into_iter().chain(self.unreachable_since).min()
    }

    fn has_recent_contact(&self, now: Time) -> bool {
        let described_at = self.described.as_ref().map(|described| described.described_at);
        described_at.max(self.last_success_at).is_some_and(|at| now.since(at) < UNLISTED_TIMEOUT)
    }

    fn has_recovered_recently(&self, now: Time) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < BACK_DURATION)
    }
}
