//! Gossip messages between two instances.
//!
//! A message contains the sender's own description, then urgent updates (a first description, a
//! restart, a changed status), the least often sent first. Within an availability zone, half of the
//! remaining byte budget goes to other updates about its instances. The rest is filled with known
//! descriptions in round-robin order. A message to another availability zone leaves out updates
//! that aren't urgent and descriptions of instances in the receiver's availability zone.

use super::rumor::GossipScope;
use super::{Description, Membership, MergeOutcome, Suspicion};
use crate::Time;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

/// Most suspicions in one message.
const MAX_SUSPICIONS: usize = 8;

/// Request for one page of an availability zone's instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyncRequest {
    /// Availability zone to list.
    pub availability_zone: Arc<str>,
    /// Last name of the previous page; `None` for the first page.
    pub after: Option<Arc<str>>,
}

/// A description and how old it is.
#[derive(Clone, Debug)]
pub struct Aged<P> {
    /// The description.
    pub description: Arc<Description<P>>,
    /// Estimated time since the instance made the description.
    pub age: Duration,
}

/// One page of an availability zone's instances.
#[derive(Clone, Debug)]
pub struct SyncPage<P> {
    /// Descriptions, sorted by name.
    pub descriptions: Vec<Aged<P>>,
    /// Last name of this page if more pages follow.
    pub more_after: Option<Arc<str>>,
}

/// Gossip message to send to another instance.
#[derive(Clone, Debug)]
pub struct Outgoing<P> {
    /// Descriptions with their ages, the own one first.
    pub descriptions: Vec<Aged<P>>,
    /// Suspicions of other instances.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that local calls can't reach; empty in messages to other zones.
    pub unreachable_zones: Vec<Arc<str>>,
}

/// Gossip message received from another instance.
#[derive(Clone, Debug)]
pub struct Incoming<P> {
    /// Name of the sender.
    pub from: Arc<str>,
    /// Availability zone of the sender.
    pub from_zone: Arc<str>,
    /// Descriptions with their ages.
    pub descriptions: Vec<Aged<P>>,
    /// Suspicions of other instances.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that the sender can't reach.
    pub unreachable_zones: Vec<Arc<str>>,
}

impl<P> Membership<P> {
    /// Composes a message to an instance of the availability zone `to`.
    ///
    /// `size` returns the encoded size of a description in bytes. The own description and one more
    /// are always included, even if they exceed the budget.
    pub fn compose_message(
        &mut self,
        now: Time,
        to: &str,
        budget_bytes: usize,
        size: impl Fn(&Description<P>) -> usize,
    ) -> Outgoing<P> {
        let in_own_zone = *to == *self.own.availability_zone;
        let scope = if in_own_zone { GossipScope::WithinZone } else { GossipScope::CrossZone };
        let receivers =
            if in_own_zone { self.reachable_zone_peers(now) } else { self.other_zones().len() };
        let suspicions = self.next_suspicions(scope, receivers);
        let mut page = Page::new(budget_bytes, size);
        page.add_own(self.own_description.clone());
        self.add_pending(now, scope, receivers, to, true, &mut page);
        if in_own_zone {
            page.reserve_half();
            self.add_pending(now, scope, receivers, to, false, &mut page);
            page.release_reserve();
        }
        self.fill_remaining(now, in_own_zone, to, &mut page);
        self.expire_rumors(now);
        Outgoing {
            descriptions: page.descriptions,
            suspicions,
            unreachable_zones: if in_own_zone { self.zones.unreachable(now) } else { Vec::new() },
        }
    }

    /// Handles a message from another instance; returns the descriptions that were new.
    pub fn receive(&mut self, now: Time, incoming: Incoming<P>) -> Vec<Aged<P>> {
        self.detect_newer_generation(&incoming);
        if incoming.from_zone == self.own.availability_zone {
            self.zones.record_report(now, incoming.from.clone(), incoming.unreachable_zones);
        }
        self.zones.expire(now);
        let accepted = incoming
            .descriptions
            .into_iter()
            .filter(|aged| {
                self.merge_description(now, aged.description.clone(), aged.age)
                    == MergeOutcome::Accepted
            })
            .collect();
        for suspicion in &incoming.suspicions {
            self.suspect(now, suspicion);
        }
        self.record_success(now, &incoming.from, &incoming.from_zone);
        accepted
    }

    /// Returns the pending sync request for an instance of the availability zone `to`, if any.
    pub fn sync_request(&self, to: &str) -> Option<SyncRequest> {
        let own_zone = &*self.own.availability_zone;
        let matches_peer = |sync: &&SyncRequest| {
            *sync.availability_zone == *to
                || (*to == *own_zone && *sync.availability_zone != *own_zone)
        };
        self.syncs.iter().find(matches_peer).cloned()
    }

    /// Records a received page; more pages follow if `more_after` names its last instance.
    pub fn record_synced_page(&mut self, request: &SyncRequest, more_after: Option<Arc<str>>) {
        let Some(position) = self.syncs.iter().position(|sync| sync == request) else {
            return;
        };
        match more_after {
            Some(after) => self.syncs[position].after = Some(after),
            None => {
                self.syncs.remove(position);
            }
        }
    }

    /// Returns a page of an availability zone's instances.
    pub fn sync_page(
        &self,
        now: Time,
        request: &SyncRequest,
        budget_bytes: usize,
        size: impl Fn(&Description<P>) -> usize,
    ) -> SyncPage<P> {
        let mut page = Page::new(budget_bytes, size);
        let after = match &request.after {
            Some(after) => Bound::Excluded(after.clone()),
            None => Bound::Unbounded,
        };
        for (_, record) in self.records.range((after, Bound::Unbounded)) {
            let in_zone = record.availability_zone == request.availability_zone;
            if !in_zone || record.state(now).is_down() {
                continue;
            }
            let Some(described) = &record.described else { continue };
            if !page.add(described.description.clone(), now.since(described.described_at)) {
                let last = page.descriptions.last();
                let more_after = last.map(|last| last.description.name.clone());
                return SyncPage { descriptions: page.descriptions, more_after };
            }
        }
        SyncPage { descriptions: page.descriptions, more_after: None }
    }

    /// Has the sender notified of a generation of its name higher than its own, which happens when
    /// its wall clock was set back before a restart.
    fn detect_newer_generation(&mut self, incoming: &Incoming<P>) {
        let Some(known_version) = self.version(&incoming.from) else { return };
        let self_described =
            incoming.descriptions.iter().find(|aged| aged.description.name == incoming.from);
        if self_described
            .is_some_and(|aged| aged.description.version.generation < known_version.generation)
        {
            self.suspicions.add(incoming.from.clone(), known_version, true);
        }
    }

    fn next_suspicions(&mut self, scope: GossipScope, receivers: usize) -> Vec<Suspicion> {
        let names = self.suspicions.pending(scope, receivers, true);
        let mut suspicions = Vec::new();
        for name in names.into_iter().take(MAX_SUSPICIONS) {
            if let Some(version) = self.suspicions.version(&name) {
                self.suspicions.record_send(&name, scope);
                suspicions.push(Suspicion { name, version });
            }
        }
        suspicions
    }

    fn add_pending<S: Fn(&Description<P>) -> usize>(
        &mut self,
        now: Time,
        scope: GossipScope,
        receivers: usize,
        to: &str,
        urgent: bool,
        page: &mut Page<P, S>,
    ) {
        for name in self.descriptions.pending(scope, receivers, urgent) {
            let Some(record) = self.records.get(&name) else { continue };
            if scope == GossipScope::CrossZone && *record.availability_zone == *to {
                continue;
            }
            let Some(described) = &record.described else { continue };
            if !page.add(described.description.clone(), now.since(described.described_at)) {
                return;
            }
            self.descriptions.record_send(&name, scope);
        }
    }

    /// Fills the page with other known descriptions, starting where the last message ended.
    fn fill_remaining<S: Fn(&Description<P>) -> usize>(
        &mut self,
        now: Time,
        in_own_zone: bool,
        to: &str,
        page: &mut Page<P, S>,
    ) {
        let after = match self.cursor.clone() {
            Some(cursor) => Bound::Excluded(cursor),
            None => Bound::Unbounded,
        };
        // Wraps around to the records up to the cursor; `Page::add` skips duplicates.
        let candidates = self.records.range((after, Bound::Unbounded)).chain(&self.records);
        let mut last = None;
        for (name, record) in candidates {
            if (!in_own_zone && *record.availability_zone == *to) || record.state(now).is_down() {
                continue;
            }
            let Some(described) = &record.described else { continue };
            if !page.add(described.description.clone(), now.since(described.described_at)) {
                break;
            }
            last = Some(name.clone());
        }
        if last.is_some() {
            self.cursor = last;
        }
    }

    fn expire_rumors(&mut self, now: Time) {
        let within_zone = self.reachable_zone_peers(now);
        let across_zones = self.is_representative(now).then(|| self.other_zones().len());
        self.descriptions.expire(within_zone, across_zones);
        self.suspicions.expire(within_zone, across_zones);
    }
}

/// Distinct descriptions within a byte budget.
struct Page<P, S> {
    descriptions: Vec<Aged<P>>,
    names: BTreeSet<Arc<str>>,
    remaining_bytes: usize,
    reserved_bytes: usize,
    size: S,
    other_count: usize,
}

impl<P, S: Fn(&Description<P>) -> usize> Page<P, S> {
    fn new(budget_bytes: usize, size: S) -> Self {
        Self {
            descriptions: Vec::new(),
            names: BTreeSet::new(),
            remaining_bytes: budget_bytes,
            reserved_bytes: 0,
            size,
            other_count: 0,
        }
    }

    /// Adds the own description as the first one.
    fn add_own(&mut self, own: Option<Arc<Description<P>>>) {
        if let Some(own) = own {
            self.remaining_bytes = self.remaining_bytes.saturating_sub((self.size)(&own));
            self.descriptions.push(Aged { description: own, age: Duration::ZERO });
        }
    }

    /// Reserves half of the remaining bytes.
    fn reserve_half(&mut self) {
        self.reserved_bytes = self.remaining_bytes / 2;
        self.remaining_bytes -= self.reserved_bytes;
    }

    /// Makes the reserved bytes available again.
    fn release_reserve(&mut self) {
        self.remaining_bytes += std::mem::take(&mut self.reserved_bytes);
    }

    /// Adds a description; returns whether it fit or was already included.
    fn add(&mut self, description: Arc<Description<P>>, age: Duration) -> bool {
        if self.names.contains(&description.name) {
            return true;
        }
        let bytes = (self.size)(&description);
        if bytes > self.remaining_bytes && self.other_count > 0 {
            return false;
        }
        self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes);
        self.other_count += 1;
        self.names.insert(description.name.clone());
        self.descriptions.push(Aged { description, age });
        true
    }
}
