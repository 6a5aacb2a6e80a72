//! What two instances tell each other.
//!
//! A message carries our own description, then urgent news (a first description, a restart, another
//! status), the least passed on first.  Half of what is left of the budget of bytes goes to other
//! news of our own availability zone, the rest to what else is known, in turns.  Between
//! availability zones nothing is said about the receiver's own one, and only urgent news.

use super::rumor::Way;
use super::{Absorbed, Description, Membership, Suspicion};
use crate::Time;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

/// Most suspicions in one message.
const MAX_SUSPICIONS: usize = 8;

/// Asks for all instances of an availability zone, page by page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyncRequest {
    /// The availability zone.
    pub availability_zone: Arc<str>,
    /// The last name that is known already.
    pub after: Option<Arc<str>>,
}

/// A description and how old it is.
#[derive(Clone, Debug)]
pub struct Aged<P> {
    /// The description.
    pub description: Arc<Description<P>>,
    /// Time since the instance described itself so, as far as known.
    pub age: Duration,
}

/// A part of an availability zone's instances.
#[derive(Clone, Debug)]
pub struct SyncPage<P> {
    /// Descriptions, in the order of the names.
    pub descriptions: Vec<Aged<P>>,
    /// The last name, if there are more.
    pub more_after: Option<Arc<str>>,
}

/// What to tell another instance.
#[derive(Clone, Debug)]
pub struct Outgoing<P> {
    /// Descriptions with their ages, our own first.
    pub descriptions: Vec<Aged<P>>,
    /// Suspicions.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that our own calls can't reach; for our own availability zone only.
    pub unreachable_zones: Vec<Arc<str>>,
}

/// What another instance told.
#[derive(Clone, Debug)]
pub struct Incoming<P> {
    /// Name of the instance.
    pub from: Arc<str>,
    /// Its availability zone.
    pub from_zone: Arc<str>,
    /// Descriptions with their ages.
    pub descriptions: Vec<Aged<P>>,
    /// Suspicions.
    pub suspicions: Vec<Suspicion>,
    /// Availability zones that it can't reach.
    pub unreachable_zones: Vec<Arc<str>>,
}

impl<P> Membership<P> {
    /// Chooses what to tell an instance of the availability zone `to`.
    ///
    /// `size` returns the bytes that a description takes. Our own one and one more are always
    /// there, even if they are larger than the budget.
    pub fn compose(
        &mut self,
        now: Time,
        to: &str,
        budget_bytes: usize,
        size: impl Fn(&Description<P>) -> usize,
    ) -> Outgoing<P> {
        let inside = *to == *self.own.availability_zone;
        let way = if inside { Way::Inside } else { Way::Between };
        let receivers = if inside { self.peers_inside(now) } else { self.other_zones().len() };
        let suspicions = self.take_suspicions(way, receivers);
        let mut page = Page::new(budget_bytes, size);
        page.start(self.own_described.clone());
        self.take_news(now, way, receivers, to, true, &mut page);
        if inside {
            page.hold_back_half();
            self.take_news(now, way, receivers, to, false, &mut page);
            page.release();
        }
        self.fill(now, inside, to, &mut page);
        self.expire_news(now);
        Outgoing {
            descriptions: page.descriptions,
            suspicions,
            unreachable_zones: if inside { self.zones.unreachable(now) } else { Vec::new() },
        }
    }

    /// Takes what another instance told; returns the descriptions that were news.
    pub fn receive(&mut self, now: Time, incoming: Incoming<P>) -> Vec<Aged<P>> {
        self.notice_earlier_life(&incoming);
        if incoming.from_zone == self.own.availability_zone {
            self.zones.report(now, incoming.from.clone(), incoming.unreachable_zones);
        }
        self.zones.expire(now);
        let accepted = incoming
            .descriptions
            .into_iter()
            .filter(|aged| {
                self.absorb(now, aged.description.clone(), aged.age) == Absorbed::Accepted
            })
            .collect();
        for suspicion in &incoming.suspicions {
            self.suspect(now, suspicion);
        }
        self.reached(now, &incoming.from, &incoming.from_zone);
        accepted
    }

    /// Returns what is to be asked of an instance of the availability zone `to`, if anything.
    pub fn sync_request(&self, to: &str) -> Option<SyncRequest> {
        let own_zone = &*self.own.availability_zone;
        let fits = |sync: &&SyncRequest| {
            *sync.availability_zone == *to
                || (*to == *own_zone && *sync.availability_zone != *own_zone)
        };
        self.syncs.iter().find(fits).cloned()
    }

    /// Takes note that a page was received, and that there are more if it names its last instance.
    pub fn synced(&mut self, request: &SyncRequest, more_after: Option<Arc<str>>) {
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
    pub fn page(
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
            let Some(known) = &record.described else { continue };
            if !page.add(known.description.clone(), now.since(known.at)) {
                let last = page.descriptions.last();
                let more_after = last.map(|last| last.description.name.clone());
                return SyncPage { descriptions: page.descriptions, more_after };
            }
        }
        SyncPage { descriptions: page.descriptions, more_after: None }
    }

    /// Has the sender told of a later generation of its name than it has itself, as happens when
    /// its wall clock went back before it was started again.
    fn notice_earlier_life(&mut self, incoming: &Incoming<P>) {
        let Some(known) = self.version(&incoming.from) else { return };
        let told = incoming.descriptions.iter().find(|aged| aged.description.name == incoming.from);
        if told.is_some_and(|aged| aged.description.version.generation < known.generation) {
            self.suspicions.add(incoming.from.clone(), known, true);
        }
    }

    fn take_suspicions(&mut self, way: Way, receivers: usize) -> Vec<Suspicion> {
        let names = self.suspicions.pending(way, receivers, true);
        let mut taken = Vec::new();
        for name in names.into_iter().take(MAX_SUSPICIONS) {
            if let Some(version) = self.suspicions.version(&name) {
                self.suspicions.sent(&name, way);
                taken.push(Suspicion { name, version });
            }
        }
        taken
    }

    fn take_news<S: Fn(&Description<P>) -> usize>(
        &mut self,
        now: Time,
        way: Way,
        receivers: usize,
        to: &str,
        urgent: bool,
        page: &mut Page<P, S>,
    ) {
        for name in self.descriptions.pending(way, receivers, urgent) {
            let Some(record) = self.records.get(&name) else { continue };
            if way == Way::Between && *record.availability_zone == *to {
                continue;
            }
            let Some(known) = &record.described else { continue };
            if !page.add(known.description.clone(), now.since(known.at)) {
                return;
            }
            self.descriptions.sent(&name, way);
        }
    }

    /// Adds what else is known, from where the last message ended.
    fn fill<S: Fn(&Description<P>) -> usize>(
        &mut self,
        now: Time,
        inside: bool,
        to: &str,
        page: &mut Page<P, S>,
    ) {
        let after = match self.cursor.clone() {
            Some(cursor) => Bound::Excluded(cursor),
            None => Bound::Unbounded,
        };
        // Those up to the cursor come round again; a page takes none twice.
        let rest = self.records.range((after, Bound::Unbounded)).chain(&self.records);
        let mut last = None;
        for (name, record) in rest {
            if (!inside && *record.availability_zone == *to) || record.state(now).is_down() {
                continue;
            }
            let Some(known) = &record.described else { continue };
            if !page.add(known.description.clone(), now.since(known.at)) {
                break;
            }
            last = Some(name.clone());
        }
        if last.is_some() {
            self.cursor = last;
        }
    }

    fn expire_news(&mut self, now: Time) {
        let inside = self.peers_inside(now);
        let between = self.is_representative(now).then(|| self.other_zones().len());
        self.descriptions.expire(inside, between);
        self.suspicions.expire(inside, between);
    }
}

/// Descriptions within a budget of bytes, each once.
struct Page<P, S> {
    descriptions: Vec<Aged<P>>,
    names: BTreeSet<Arc<str>>,
    left_bytes: usize,
    held_back_bytes: usize,
    size: S,
    others: usize,
}

impl<P, S: Fn(&Description<P>) -> usize> Page<P, S> {
    fn new(budget_bytes: usize, size: S) -> Self {
        Self {
            descriptions: Vec::new(),
            names: BTreeSet::new(),
            left_bytes: budget_bytes,
            held_back_bytes: 0,
            size,
            others: 0,
        }
    }

    /// Puts our own description first.
    fn start(&mut self, own: Option<Arc<Description<P>>>) {
        if let Some(own) = own {
            self.left_bytes = self.left_bytes.saturating_sub((self.size)(&own));
            self.descriptions.push(Aged { description: own, age: Duration::ZERO });
        }
    }

    /// Keeps half of the bytes left for later.
    fn hold_back_half(&mut self) {
        self.held_back_bytes = self.left_bytes / 2;
        self.left_bytes -= self.held_back_bytes;
    }

    /// Gives back the bytes kept for later.
    fn release(&mut self) {
        self.left_bytes += std::mem::take(&mut self.held_back_bytes);
    }

    /// Adds a description; returns whether there was room for it, or it is there already.
    fn add(&mut self, description: Arc<Description<P>>, age: Duration) -> bool {
        if self.names.contains(&description.name) {
            return true;
        }
        let bytes = (self.size)(&description);
        if bytes > self.left_bytes && self.others > 0 {
            return false;
        }
        self.left_bytes = self.left_bytes.saturating_sub(bytes);
        self.others += 1;
        self.names.insert(description.name.clone());
        self.descriptions.push(Aged { description, age });
        true
    }
}
