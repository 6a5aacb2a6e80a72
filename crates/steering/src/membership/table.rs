//! The table of instances and the events that change it.

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

/// Most instances that are remembered, twice the two-year size; further ones are not taken.
const MAX_RECORDS: usize = 8_192;

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct Own {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Order among the incarnations of its name; raised when a higher one turns up.
    pub generation: u64,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
}

/// What became of a description.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absorbed {
    /// It is the latest one now.
    Accepted,
    /// A later one, or the same, was known.
    Stale,
    /// It carries our own name.
    Own,
    /// Too many instances are known.
    Full,
}

/// Every instance that is known, as this instance sees it.
#[derive(Clone, Debug)]
pub struct Membership<P> {
    pub(super) own: Own,
    pub(super) own_sequence: u64,
    pub(super) own_described: Option<Arc<Description<P>>>,
    pub(super) own_leaving: bool,
    /// Set when our own description has to be given anew.
    outdated: bool,
    pub(super) urgent: bool,
    pub(super) records: BTreeMap<Arc<str>, Record<P>>,
    pub(super) zones: Zones,
    pub(super) descriptions: Rumors,
    pub(super) suspicions: Rumors,
    pub(super) cursor: Option<Arc<str>>,
    pub(super) syncs: VecDeque<SyncRequest>,
}

/// An instance, as others of this process get to see it.
#[derive(Clone, Debug)]
pub struct MemberView<P> {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// Its last description.
    pub description: Option<Arc<Description<P>>>,
    /// Time since it described itself so, as far as known.
    pub age: Duration,
}

impl<P> Membership<P> {
    /// Makes the membership of an instance that knows only itself.
    pub fn new(own: Own) -> Self {
        let mut membership = Self {
            own,
            own_sequence: 0,
            own_described: None,
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
        membership.want_sync(membership.own.availability_zone.clone());
        membership
    }

    /// Describes this instance anew; `urgent` has others told at once.
    pub fn describe(&mut self, status: Status, payload: P, urgent: bool) {
        self.own_sequence += 1;
        self.urgent |= self.outdated || urgent;
        self.outdated = false;
        self.own_described = Some(Arc::new(Description {
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

    /// Returns our own description, once there is one.
    pub fn own_description(&self) -> Option<&Arc<Description<P>>> {
        self.own_described.as_ref()
    }

    /// Tells whether [`describe`](Self::describe) is to be called as soon as possible.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Tells, once, whether there are news that are to be passed on at once.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Takes the platform's list, in place of the one before.
    pub fn list(&mut self, now: Time, entries: impl IntoIterator<Item = Listed>) {
        let mut names = BTreeSet::new();
        self.own_leaving = false;
        for entry in entries {
            names.insert(entry.name.clone());
            if entry.name == self.own.name {
                self.own_leaving = entry.leaving;
                continue;
            }
            if self.knows_no_zone(&entry.availability_zone) {
                self.want_sync(entry.availability_zone.clone());
            }
            let zone = entry.availability_zone.clone();
            self.records.entry(entry.name.clone()).or_insert_with(|| Record::new(zone)).list(entry);
        }
        for (name, record) in &mut self.records {
            if !names.contains(name) {
                record.delist(now);
            }
        }
        let (descriptions, suspicions) = (&mut self.descriptions, &mut self.suspicions);
        self.records.retain(|name, record| {
            let keep = !record.is_forgotten(now);
            if !keep {
                descriptions.remove(name);
                suspicions.remove(name);
            }
            keep
        });
    }

    /// Takes a description that is `age` old.
    pub fn absorb(
        &mut self,
        now: Time,
        description: Arc<Description<P>>,
        age: Duration,
    ) -> Absorbed {
        let name = description.name.clone();
        if name == self.own.name {
            self.hear_own_name(description.incarnation, description.version);
            return Absorbed::Own;
        }
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&name) {
            return Absorbed::Full;
        }
        let zone = description.availability_zone.clone();
        let record = self.records.entry(name.clone()).or_insert_with(|| Record::new(zone));
        let before = record.described.as_ref().map(|known| known.description.status);
        let was_down = record.state(now).is_down();
        let (version, status) = (description.version, description.status);
        let restarted = version.generation > record.version().generation;
        let inside = record.availability_zone == self.own.availability_zone;
        if !record.describe(now, description, now - age, inside) {
            // Whoever sent it does not know that the instance is suspected.
            if let Some(suspected) = record.suspected() {
                self.suspicions.add(name, suspected, true);
            }
            return Absorbed::Stale;
        }
        let urgent = was_down || restarted || before != Some(status);
        self.urgent |= urgent;
        self.suspicions.remove(&name);
        if urgent || inside {
            self.descriptions.add(name, version, urgent);
        }
        Absorbed::Accepted
    }

    /// Takes a suspicion.
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

    /// Takes note of a call from or to an instance that succeeded.
    pub fn reached(&mut self, now: Time, name: &str, zone: &Arc<str>) {
        if *zone != self.own.availability_zone && self.zones.reached(now, zone) {
            self.want_sync(zone.clone());
            let cut_off =
                self.records.values_mut().filter(|other| other.availability_zone == *zone);
            cut_off.for_each(Record::give_new_chance);
        }
        if let Some(record) = self.records.get_mut(name) {
            record.reached(now);
        }
    }

    /// Takes note of a call to an instance that failed, `no_connection` if it could not be sent.
    pub fn failed(&mut self, now: Time, name: &str, no_connection: bool) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let inside = record.availability_zone == self.own.availability_zone;
        if !inside {
            let zone = record.availability_zone.clone();
            self.zones.failed(now, &zone);
        }
        let out_of_reach = record.failed(now, no_connection);
        self.urgent |= record.is_doubtful();
        // Between availability zones a failed call may mean a cut, which is not the instance's.
        if inside && out_of_reach {
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

    /// Returns every instance, our own included, in the order of the names.
    pub fn view(&self, now: Time) -> Vec<MemberView<P>> {
        let own = MemberView {
            name: self.own.name.clone(),
            availability_zone: self.own.availability_zone.clone(),
            caller_address: self.own.caller_address,
            peer_address: self.own.peer_address,
            state: self.own_state(),
            description: self.own_described.clone(),
            age: Duration::ZERO,
        };
        let others = self.records.iter().filter_map(|(name, record)| {
            Some(MemberView {
                name: name.clone(),
                availability_zone: record.availability_zone.clone(),
                caller_address: record.caller_address()?,
                peer_address: record.peer_address()?,
                state: self.state_of(now, record),
                description: record.described.as_ref().map(|known| known.description.clone()),
                age: record.described.as_ref().map(|known| now.since(known.at)).unwrap_or_default(),
            })
        });
        let mut all: Vec<_> = std::iter::once(own).chain(others).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    pub(super) fn state_of(&self, now: Time, record: &Record<P>) -> MemberState {
        let state = record.state(now);
        let inside = record.availability_zone == self.own.availability_zone;
        if inside || state.is_down() || !self.zones.is_lost(now, &record.availability_zone) {
            return state;
        }
        MemberState::Suspected
    }

    pub(super) fn own_version(&self) -> DescriptionVersion {
        DescriptionVersion { generation: self.own.generation, sequence: self.own_sequence }
    }

    /// Asks for all instances of an availability zone, unless that is under way.
    pub(super) fn want_sync(&mut self, availability_zone: Arc<str>) {
        if self.syncs.iter().all(|sync| sync.availability_zone != availability_zone) {
            self.syncs.push_back(SyncRequest { availability_zone, after: None });
        }
    }

    fn own_state(&self) -> MemberState {
        match self.own_described.as_ref().map(|description| description.status) {
            _ if self.own_leaving => MemberState::Draining,
            None | Some(Status::Joining) => MemberState::Joining,
            Some(Status::Serving) => MemberState::Serving,
            Some(Status::Draining) => MemberState::Draining,
        }
    }

    /// Outruns an earlier life of our own name whose descriptions are still about.
    fn hear_own_name(&mut self, incarnation: Incarnation, version: DescriptionVersion) {
        if incarnation != self.own.incarnation && version.generation >= self.own.generation {
            self.own.generation = version.generation.saturating_add(1);
            self.outdate();
        }
    }

    /// Describes us anew, so that a suspicion about us ends.
    fn refute(&mut self, version: DescriptionVersion) {
        if version.generation > self.own.generation {
            self.own.generation = version.generation.saturating_add(1);
            self.outdate();
        } else if version >= self.own_version() {
            self.own_sequence = version.sequence;
            self.outdate();
        }
    }

    fn outdate(&mut self) {
        self.outdated = true;
        self.urgent = true;
    }

    fn knows_no_zone(&self, zone: &str) -> bool {
        *zone != *self.own.availability_zone
            && self.records.values().all(|record| *record.availability_zone != *zone)
    }
}
