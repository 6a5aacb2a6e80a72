//! Membership table and the events that update it.

use super::exchange::SyncRequest;
use super::record::Record;
use super::rumor::Rumors;
use super::zones::Zones;
use super::{Description, DescriptionVersion, Listed, MemberState, Status, Suspicion};
use crate::{Incarnation, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Most instances that are kept, twice the fleet size planned for two years; others are ignored.
const MAX_RECORDS: usize = 8_192;

/// Identity of this instance.
#[derive(Clone, Debug)]
pub struct OwnInstance {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Increases with each incarnation of the name; raised when a higher one is seen.
    pub generation: u64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
}

/// Result of merging a description.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The description was stored as the latest one.
    Accepted,
    /// The same or a newer description was already known.
    Stale,
    /// The description has this instance's own name.
    OwnName,
    /// The table is full.
    Full,
}

/// All known instances, as seen by this instance.
#[derive(Clone, Debug)]
pub struct Membership<P> {
    pub(super) own: OwnInstance,
    pub(super) own_sequence: u64,
    pub(super) own_description: Option<Arc<Description<P>>>,
    pub(super) own_leaving: bool,
    /// Whether the own description must be renewed.
    outdated: bool,
    pub(super) urgent: bool,
    pub(super) records: BTreeMap<Arc<str>, Record<P>>,
    pub(super) zones: Zones,
    pub(super) descriptions: Rumors,
    pub(super) suspicions: Rumors,
    pub(super) cursor: Option<Arc<str>>,
    pub(super) syncs: VecDeque<SyncRequest>,
}

/// An instance, for use outside the membership.
#[derive(Clone, Debug)]
pub struct MemberView<P> {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// State of the instance.
    pub state: MemberState,
    /// Last description, if any.
    pub description: Option<Arc<Description<P>>>,
    /// Estimated age of the description; zero without one.
    pub age: Duration,
}

impl<P> Membership<P> {
    /// Creates a membership that contains only the own instance.
    pub fn new(own: OwnInstance) -> Self {
        let mut membership = Self {
            own,
            own_sequence: 0,
            own_description: None,
            own_leaving: false,
            outdated: true,
            urgent: false,
            records: BTreeMap::new(),
            zones: Zones::default(),
            descriptions: Rumors::default(),
            suspicions: Rumors::default(),
            cursor: None,
            syncs: VecDeque::new(),
        };
        membership.queue_sync(membership.own.availability_zone.clone());
        membership
    }

    /// Renews the own description; an `urgent` one is gossiped at once.
    pub fn describe(&mut self, status: Status, payload: P, urgent: bool) {
        self.own_sequence += 1;
        self.urgent |= self.outdated || urgent;
        self.outdated = false;
        self.own_description = Some(Arc::new(Description {
            name: self.own.name.clone(),
            availability_zone: self.own.availability_zone.clone(),
            incarnation: self.own.incarnation,
            version: self.own_version(),
            status,
            caller_address: self.own.caller_address,
            peer_address: self.own.peer_address,
            payload,
        }));
    }

    /// Returns the own description, if there is one yet.
    pub fn own_description(&self) -> Option<&Arc<Description<P>>> {
        self.own_description.as_ref()
    }

    /// Returns whether [`describe`](Self::describe) must be called as soon as possible.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns whether there are updates to gossip at once, and resets that flag.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Applies the platform's list, which replaces the previous one.
    pub fn apply_list(&mut self, now: Time, entries: impl IntoIterator<Item = Listed>) {
        let mut names = BTreeSet::new();
        self.own_leaving = false;
        for entry in entries {
            names.insert(entry.name.clone());
            if entry.name == self.own.name {
                self.own_leaving = entry.leaving;
                continue;
            }
            if self.is_new_zone(&entry.availability_zone) {
                self.queue_sync(entry.availability_zone.clone());
            }
            let zone = entry.availability_zone.clone();
            self.records
                .entry(entry.name.clone())
                .or_insert_with(|| Record::new(zone))
                .set_listed(entry);
        }
        for (name, record) in &mut self.records {
            if !names.contains(name) {
                record.set_removed(now);
            }
        }
        let (descriptions, suspicions) = (&mut self.descriptions, &mut self.suspicions);
        self.records.retain(|name, record| {
            let keep = !record.is_expired(now);
            if !keep {
                descriptions.remove(name);
                suspicions.remove(name);
            }
            keep
        });
    }

    /// Merges a description that is `age` old.
    pub fn merge_description(
        &mut self,
        now: Time,
        description: Arc<Description<P>>,
        age: Duration,
    ) -> MergeOutcome {
        let name = description.name.clone();
        if name == self.own.name {
            self.outrank_earlier_incarnation(description.incarnation, description.version);
            return MergeOutcome::OwnName;
        }
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&name) {
            return MergeOutcome::Full;
        }
        let zone = description.availability_zone.clone();
        let record = self.records.entry(name.clone()).or_insert_with(|| Record::new(zone));
        let previous_status =
            record.described.as_ref().map(|described| described.description.status);
        let was_down = record.state(now).is_down();
        let (version, status) = (description.version, description.status);
        let restarted = version.generation > record.version().generation;
        let in_own_zone = record.availability_zone == self.own.availability_zone;
        if !record.update_description(now, description, now - age, in_own_zone) {
            // The sender doesn't know yet that the instance is suspected.
            if let Some(suspected) = record.suspected_version() {
                self.suspicions.add(name, suspected, true);
            }
            return MergeOutcome::Stale;
        }
        let urgent = was_down || restarted || previous_status != Some(status);
        self.urgent |= urgent;
        self.suspicions.remove(&name);
        if urgent || in_own_zone {
            self.descriptions.add(name, version, urgent);
        }
        MergeOutcome::Accepted
    }

    /// Handles a suspicion; one about this instance makes it renew its description.
    pub fn suspect(&mut self, now: Time, suspicion: &Suspicion) {
        if suspicion.name == self.own.name {
            self.refute(suspicion.version);
            return;
        }
        let Some(record) = self.records.get_mut(&suspicion.name) else {
            return;
        };
        if record.suspect(now, suspicion.version) {
            self.urgent = true;
            self.suspicions.add(suspicion.name.clone(), suspicion.version, true);
        }
    }

    /// Records a successful call from or to an instance of `zone`.
    pub fn record_success(&mut self, now: Time, name: &str, zone: &Arc<str>) {
        if *zone != self.own.availability_zone && self.zones.record_success(now, zone) {
            self.queue_sync(zone.clone());
            let zone_records =
                self.records.values_mut().filter(|other| other.availability_zone == *zone);
            zone_records.for_each(Record::reset_failures);
        }
        if let Some(record) = self.records.get_mut(name) {
            record.record_success(now);
        }
    }

    /// Records a failed call to an instance; `no_connection` if no connection could be opened.
    pub fn record_failure(&mut self, now: Time, name: &str, no_connection: bool) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let in_own_zone = record.availability_zone == self.own.availability_zone;
        if !in_own_zone {
            let zone = record.availability_zone.clone();
            self.zones.record_failure(now, &zone);
        }
        let is_unreachable = record.record_failure(now, no_connection);
        self.urgent |= record.has_unconfirmed_failure();
        // Across availability zones, a failed call may be due to a cut link, not to the instance.
        if in_own_zone && is_unreachable {
            let suspicion = Suspicion { name: name.into(), version: record.version() };
            self.suspect(now, &suspicion);
        }
    }

    /// Returns the state of an instance, if it is known.
    pub fn state(&self, now: Time, name: &str) -> Option<MemberState> {
        if *name == *self.own.name {
            return Some(self.own_state());
        }
        self.records.get(name).map(|record| self.state_of(now, record))
    }

    /// Returns the version of the last description of an instance.
    pub fn version(&self, name: &str) -> Option<DescriptionVersion> {
        self.records.get(name).map(Record::version)
    }

    /// Returns all instances, including the own one, sorted by name.
    pub fn view(&self, now: Time) -> Vec<MemberView<P>> {
        let own = MemberView {
            name: self.own.name.clone(),
            availability_zone: self.own.availability_zone.clone(),
            caller_address: self.own.caller_address,
            peer_address: self.own.peer_address,
            state: self.own_state(),
            description: self.own_description.clone(),
            age: Duration::ZERO,
        };
        let others = self.records.iter().filter_map(|(name, record)| {
            Some(MemberView {
                name: name.clone(),
                availability_zone: record.availability_zone.clone(),
                caller_address: record.caller_address()?,
                peer_address: record.peer_address()?,
                state: self.state_of(now, record),
                description: record
                    .described
                    .as_ref()
                    .map(|described| described.description.clone()),
                age: record
                    .described
                    .as_ref()
                    .map(|described| now.since(described.described_at))
                    .unwrap_or_default(),
            })
        });
        let mut all: Vec<_> = std::iter::once(own).chain(others).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    pub(super) fn state_of(&self, now: Time, record: &Record<P>) -> MemberState {
        let state = record.state(now);
        let in_own_zone = record.availability_zone == self.own.availability_zone;
        if in_own_zone
            || state.is_down()
            || !self.zones.is_partitioned(now, &record.availability_zone)
        {
            return state;
        }
        MemberState::Suspected
    }

    pub(super) fn own_version(&self) -> DescriptionVersion {
        DescriptionVersion { generation: self.own.generation, sequence: self.own_sequence }
    }

    /// Queues a sync of all instances of an availability zone, unless one is pending.
    pub(super) fn queue_sync(&mut self, availability_zone: Arc<str>) {
        if self.syncs.iter().all(|sync| sync.availability_zone != availability_zone) {
            self.syncs.push_back(SyncRequest { availability_zone, after: None });
        }
    }

    fn own_state(&self) -> MemberState {
        match self.own_description.as_ref().map(|description| description.status) {
            _ if self.own_leaving => MemberState::Draining,
            None | Some(Status::Joining) => MemberState::Joining,
            Some(Status::Serving) => MemberState::Serving,
            Some(Status::Draining) => MemberState::Draining,
        }
    }

    /// Raises the own generation above that of an earlier incarnation of the own name whose
    /// descriptions still circulate.
    fn outrank_earlier_incarnation(
        &mut self,
        incarnation: Incarnation,
        version: DescriptionVersion,
    ) {
        if incarnation != self.own.incarnation && version.generation >= self.own.generation {
            self.own.generation = version.generation.saturating_add(1);
            self.mark_outdated();
        }
    }

    /// Has the own description renewed with a higher version, which refutes a suspicion.
    fn refute(&mut self, version: DescriptionVersion) {
        if version.generation > self.own.generation {
            self.own.generation = version.generation.saturating_add(1);
            self.mark_outdated();
        } else if version >= self.own_version() {
            self.own_sequence = version.sequence;
            self.mark_outdated();
        }
    }

    fn mark_outdated(&mut self) {
        self.outdated = true;
        self.urgent = true;
    }

    fn is_new_zone(&self, zone: &str) -> bool {
        *zone != *self.own.availability_zone
            && self.records.values().all(|record| *record.availability_zone != *zone)
    }
}
