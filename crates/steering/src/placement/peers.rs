//! The instances known to this one, from heartbeats that instances pass on to each other.
//!
//! Each instance counts its own heartbeats; the highest counter of the latest start wins.  An
//! instance whose counter no longer grows counts as lost.  A heartbeat and the description of an
//! instance as of a heartbeat are kept apart, because the heartbeat usually arrives earlier.

use super::incarnation::Incarnation;
use super::liveness::{HeartbeatRecord, Zones};
pub use super::peer::{Demand, Peer, PeerState};
use super::peer_update::{Heartbeat, PeerUpdate, StartId};
use super::rank::name_hash;
pub use super::remembered::REMEMBERED_FOR;
use super::remembered::Remembered;
use crate::reach::reports::ReachReports;
use crate::terms::timings::LivenessTimings;
pub use crate::terms::timings::{HEARTBEAT_INTERVAL, LOST_AFTER};
use crate::watchers;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a heartbeat after which a lost instance is removed.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Instances of a region that watch the store while it is not known which are alive: three times as
/// many as later, because some of the registered ones may be gone.
pub(super) const STARTUP_WATCHERS_PER_REGION: usize = 3 * watchers::WATCHERS_PER_ZONE;

/// How recent the knowledge of a live instance is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Freshness {
    /// The latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time since it was sent, as far as known.
    pub age: Duration,
    /// Time since it was received, in heartbeat intervals.
    pub intervals_since_heartbeat: u32,
    /// Heartbeats between the description that is known and the latest heartbeat.
    pub description_lag: u64,
}

/// What an instance knows about others just after its start, when its list of peers may be incomplete.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    /// Number of other instances that ever registered; `None` before the registrations were read.
    pub registered_others: Option<usize>,
    /// Whether any live instance would have been heard by now.
    pub has_waited: bool,
}

#[derive(Debug)]
pub(super) struct PeerEntry {
    /// The latest description, as of the heartbeat in it.
    pub(super) peer: Peer,
    pub(super) id: StartId,
    pub(super) name_hash: u64,
    /// Heartbeats received, which may be later than the description.
    record: HeartbeatRecord,
}

impl PeerEntry {
    fn new(peer: Peer, age: Duration, now: Instant) -> Self {
        let name_hash = name_hash(&peer.name);
        let id = StartId::new(name_hash, peer.started_ms);
        Self { id, name_hash, record: HeartbeatRecord::new(peer.heartbeat, age, now), peer }
    }

    /// The start that it describes.
    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.peer.name.clone(), started_ms: self.peer.started_ms }
    }
}

/// The instances known to this one, without itself.
#[derive(Debug)]
pub struct Peers {
    entries: BTreeMap<Arc<str>, PeerEntry>,
    /// Instances that were removed from `entries` and may still serve callers.
    remembered: Remembered,
    zones: Zones,
    /// Which instances don't reach the backend servers.
    pub reach: ReachReports,
}

impl Default for Peers {
    fn default() -> Self {
        Self::new(Zones::default())
    }
}

impl Peers {
    /// An empty table of an instance in an availability zone.
    pub fn in_zone(zone: Arc<str>, timings: LivenessTimings) -> Self {
        Self::new(Zones::in_zone(zone, timings))
    }

    fn new(zones: Zones) -> Self {
        let reach = ReachReports::new(zones.timings().lost_after);
        Self { entries: BTreeMap::new(), remembered: Remembered::default(), zones, reach }
    }

    /// Records the description that an instance sent itself; returns whether it was newer than the
    /// known one.
    pub fn record(&mut self, peer: Peer, now: Instant) -> bool {
        self.record_relayed(peer, Duration::ZERO, now)
    }

    /// Records a description whose last heartbeat was sent `age` ago; returns whether it was newer
    /// than the known one.
    ///
    /// It is compared with the known description, not with the latest heartbeat: a relayed
    /// description arrives after relayed heartbeats and is new all the same.
    pub fn record_relayed(&mut self, peer: Peer, age: Duration, now: Instant) -> bool {
        let order = |peer: &Peer| (peer.started_ms, peer.heartbeat);
        match self.entries.get_mut(&peer.name) {
            Some(entry) if order(&peer) <= order(&entry.peer) => false,
            Some(entry) if peer.started_ms == entry.peer.started_ms => {
                entry.record.add_heartbeat(peer.heartbeat, age, now);
                entry.peer = peer;
                true
            }
            _ => {
                let entry = PeerEntry::new(peer, age, now);
                self.remembered.remove(entry.name_hash);
                self.entries.insert(entry.peer.name.clone(), entry);
                true
            }
        }
    }

    /// The live instances, each with how recent its knowledge is.
    pub fn alive_with_freshness(&self, now: Instant) -> impl Iterator<Item = (&Peer, Freshness)> {
        self.alive_entries(now).map(move |entry| {
            let intervals = now.duration_since(entry.record.received_at).as_millis()
                / self.zones.timings().heartbeat_interval.as_millis();
            let freshness = Freshness {
                heartbeat: Heartbeat { id: entry.id, heartbeat: entry.record.heartbeat },
                age: now.duration_since(entry.record.sent_at),
                intervals_since_heartbeat: u32::try_from(intervals).unwrap_or(u32::MAX),
                description_lag: entry.record.heartbeat - entry.peer.heartbeat,
            };
            (&entry.peer, freshness)
        })
    }

    /// Records heartbeats, each with the time since it was sent.  Those of unknown instances or
    /// other starts are ignored.
    pub fn record_heartbeats(
        &mut self,
        heartbeats: impl IntoIterator<Item = (Heartbeat, Duration)>,
        now: Instant,
    ) {
        let by_id: HashMap<StartId, (u64, Duration)> = heartbeats
            .into_iter()
            .map(|(heartbeat, age)| (heartbeat.id, (heartbeat.heartbeat, age)))
            .collect();
        for entry in self.entries.values_mut() {
            if let Some((heartbeat, age)) = by_id.get(&entry.id) {
                entry.record.add_heartbeat(*heartbeat, *age, now);
            }
        }
    }

    /// Records updates, each with the time since its heartbeat was sent.  Those of unknown
    /// instances or other starts are ignored.
    pub fn record_updates(
        &mut self,
        updates: impl IntoIterator<Item = (PeerUpdate, Duration)>,
        now: Instant,
    ) {
        let mut by_id: HashMap<StartId, (PeerUpdate, Duration)> =
            updates.into_iter().map(|(update, age)| (update.as_of.id, (update, age))).collect();
        for entry in self.entries.values_mut() {
            if let Some((update, age)) = by_id.remove(&entry.id)
                && update.as_of.heartbeat > entry.peer.heartbeat
            {
                entry.record.add_heartbeat(update.as_of.heartbeat, age, now);
                update.apply(&mut entry.peer);
            }
        }
    }

    /// Removes instances that have been lost for long, and updates which zones are silent.
    ///
    /// Those that did not say that they stop are remembered, as they may serve callers that this
    /// instance can't reach.
    pub fn prune(&mut self, now: Instant) {
        let Self { entries, remembered, .. } = self;
        entries.retain(|_, entry| {
            let received_at = entry.record.received_at;
            let is_recent = now.duration_since(received_at) < FORGOTTEN_AFTER;
            if !is_recent && entry.peer.state != PeerState::Leaving {
                remembered.add(entry.name_hash, received_at);
            }
            is_recent
        });
        remembered.prune(now);
        let records =
            self.entries.values().map(|entry| (&entry.peer.availability_zone, &entry.record));
        self.zones.update(records, now);
    }

    /// Records reports that no heartbeat followed these ones.
    pub fn record_silences(&mut self, silences: &[Heartbeat], now: Instant) {
        if silences.is_empty() {
            return;
        }
        let by_id: HashMap<StartId, u64> =
            silences.iter().map(|silence| (silence.id, silence.heartbeat)).collect();
        for entry in self.entries.values_mut() {
            if let Some(heartbeat) = by_id.get(&entry.id) {
                entry.record.add_silence(*heartbeat, now);
            }
        }
    }

    /// Last heartbeats of instances that should be reported as silent to others.
    pub fn silences(&self, now: Instant) -> Vec<Heartbeat> {
        let report = |entry: &PeerEntry| {
            let heartbeat =
                self.zones.silence_to_report(&entry.peer.availability_zone, &entry.record, now)?;
            Some(Heartbeat { id: entry.id, heartbeat })
        };
        self.entries.values().filter_map(report).collect()
    }

    /// Returns whether there are too many instances for all heartbeats to reach all in time.
    pub fn is_large(&self) -> bool {
        self.zones.is_large()
    }

    /// The instances that count as alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.alive_entries(now).map(|entry| &entry.peer)
    }

    /// The number of instances that count as alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive_entries(now).count()
    }

    /// Number of instances that have not been heard for long and may still serve callers.
    pub fn remembered_count(&self) -> usize {
        self.remembered.len()
    }

    /// All known instances, including lost ones that are not yet removed.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|entry| &entry.peer)
    }

    /// Returns whether `own` is one of the few instances of its region that watch the store; the
    /// others learn of changes from these.  An instance that does not reach the store is left out.
    pub fn is_watcher(&self, own: &Peer, now: Instant) -> bool {
        watchers::is_watcher(&own.name, self.possible_watchers(own, now))
    }

    /// The instances of the region that replace `own` if its watch gets no response.
    pub fn watch_successors(&self, own: &Peer, now: Instant) -> Vec<&Peer> {
        let names = watchers::successors(&own.name, self.possible_watchers(own, now));
        let entries = names.into_iter().filter_map(|name| self.entries.get(name));
        entries.map(|entry| &entry.peer).collect()
    }

    /// Names of the other instances of the region that can watch the store.
    fn possible_watchers(&self, own: &Peer, now: Instant) -> impl Iterator<Item = &str> {
        let of_region = self.alive(now).filter(move |peer| peer.region == own.region);
        of_region.filter(|peer| peer.reaches_store && peer.is_serving()).map(|peer| &*peer.name)
    }

    /// Returns whether `own`, which has just started, is one of the few instances of its region
    /// that watch the store; `registered` are the names of all instances of the region that ever
    /// registered.
    ///
    /// No heartbeat has arrived then, and if all instances that started together watched the store,
    /// 295 of them would make 2,400 calls in the first 4 s.  An instance that is registered decides
    /// by the registrations.  A new one waits: it either receives heartbeats, or starts together
    /// with all others before any caller comes.
    pub fn is_first_watcher<'a>(
        &self,
        own: &Peer,
        registered: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> bool {
        let registered: BTreeSet<&str> = registered.collect();
        let is_registered = registered.contains(&*own.name);
        is_registered
            && self.startup_rank(own, registered.into_iter(), now) < STARTUP_WATCHERS_PER_REGION
    }

    /// The number of instances of the region that come before `own` at the store while it is not
    /// known which are alive; `registered` are the names of all instances of the region that ever
    /// registered.
    pub fn startup_rank<'a>(
        &self,
        own: &Peer,
        registered: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> usize {
        let mut names: BTreeSet<&str> = registered.collect();
        let alive = self.alive(now).filter(|peer| peer.region == own.region);
        names.extend(alive.map(|peer| &*peer.name));
        watchers::position(&own.name, names.into_iter())
    }

    /// The number of instances of a region that are live, or were lost less than
    /// [`FORGOTTEN_AFTER`] ago.
    pub fn count_in_region(&self, region: &str) -> usize {
        self.all().filter(|peer| *peer.region == *region).count()
    }

    /// Number of instances, this one included, that may be serving callers, reachable from here or not;
    /// `None` while unknown.
    ///
    /// A peer counts until it is neither known nor remembered, as one that is partitioned from this
    /// instance may still serve callers.
    pub fn fleet_size(&self, startup: Option<&Startup>) -> Option<usize> {
        let seen = self.entries.len() + self.remembered.len();
        let Some(startup) = startup else { return Some(seen + 1) };
        let reported = self.all().map(|peer| peer.alive_peers).max().unwrap_or(0);
        let other_count = seen.max(reported).max(startup.registered_others.unwrap_or(0));
        let is_known = other_count > 0 || startup.registered_others.is_some() || startup.has_waited;
        is_known.then_some(other_count + 1)
    }

    /// Returns whether a known instance runs at a host.
    pub fn has_host(&self, host: IpAddr) -> bool {
        self.all().any(|peer| peer.knowledge_address.ip() == host)
    }

    pub(super) fn alive_entries(&self, now: Instant) -> impl Iterator<Item = &PeerEntry> {
        let is_alive = move |entry: &&PeerEntry| {
            self.zones.is_alive(&entry.peer.availability_zone, &entry.record, now)
        };
        self.entries.values().filter(is_alive)
    }
}
