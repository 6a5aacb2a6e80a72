//! One site split between availability zones, under random schedules of lost replies, delayed
//! writes, outages, pauses, and sessions that change their holder or expire for good.
//!
//! At every step the slots that all zones occupy or could occupy stay within the capacity.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use steering::shares::timing::SLOT_HOLD;
use steering::shares::{
    Allocator, Cap, Permit, Plan, Resource, Session, SessionRecord, SessionWrite, Shares,
    SiteShare, SiteSplit, SiteView, SiteWrite, WriteId, ZoneSessions,
};
use steering::{Incarnation, Time};

const CAPACITY: u64 = 12;
const ZONES: usize = 3;
const NODES_PER_ZONE: usize = 2;

/// An instance that holds or tries to claim its zone's session, and grants to itself only.
struct Node {
    zone: usize,
    name: Arc<str>,
    me: Incarnation,
    session: Session,
    allocator: Option<Allocator>,
    site: SiteShare,
    zone_sessions: ZoneSessions,
    shares: Shares,
    exchanges: Vec<(Time, Permit)>,
    writes: u64,
    paused: bool,
}

#[derive(Clone)]
enum DelayedWrite {
    Session(usize, SessionWrite),
    Split(SiteWrite),
}

struct World {
    random: SmallRng,
    now: Time,
    nodes: Vec<Node>,
    sessions: Vec<(Option<u64>, Option<SessionRecord>)>,
    split: Option<(u64, SiteSplit)>,
    delayed_writes: Vec<DelayedWrite>,
    outage: bool,
    acquired: u64,
}

fn site() -> Resource {
    Resource::Site { service: "s".into(), availability_zone: "z".into() }
}

fn zone_name(zone: usize) -> Arc<str> {
    format!("zone{zone}").into()
}

fn node(zone: usize, number: usize, random: &mut SmallRng) -> Node {
    let cap = |total| Cap { total, floor_total: 0, instance_slots: 4, is_own_zone: false };
    let link = Resource::Link { to: "z".into() };
    let caps = BTreeMap::from([(site(), cap(CAPACITY)), (link, cap(1_000_000))]);
    let mut shares = Shares::default();
    shares.set_plan(&Plan { caps, instance_slots: 4 });
    let (me, name) = (Incarnation(random.random()), Arc::<str>::from(format!("n{zone}{number}")));
    Node {
        zone,
        name: name.clone(),
        me,
        session: Session::new(me, name, Time::default()),
        allocator: None,
        site: SiteShare::new(zone_name(zone)),
        zone_sessions: ZoneSessions::default(),
        shares,
        exchanges: Vec::new(),
        writes: 0,
        paused: false,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let positions = (0..ZONES).flat_map(|zone| (0..NODES_PER_ZONE).map(move |n| (zone, n)));
        let nodes = positions.map(|(zone, number)| node(zone, number, &mut random)).collect();
        let sessions = vec![(None, None); ZONES];
        let now = Time::from_ms(100_000);
        let (split, delayed_writes, outage, acquired) = (None, Vec::new(), false, 0);
        Self { random, now, nodes, sessions, split, delayed_writes, outage, acquired }
    }

    fn step(&mut self) {
        match self.random.random_range(0..1_000) {
            0..60 => self.pass_time(),
            60..900 => self.run_node(),
            900..960 => self.deliver_delayed_write(),
            960..963 => self.outage = true,
            963..972 => self.outage = false,
            972..976 => self.with_node(|node| node.paused = true),
            976..984 => self.with_node(|node| node.paused = false),
            _ => self.with_node(Node::end_exchanges),
        }
        self.check();
    }

    fn with_node(&mut self, change: impl Fn(&mut Node)) {
        let node = self.random.random_range(0..self.nodes.len());
        change(&mut self.nodes[node]);
    }

    fn pass_time(&mut self) {
        let longest_ms = match self.random.random_range(0..100) {
            0..85 => 300,
            85..98 => 3_000,
            _ => 50_000,
        };
        self.now += Duration::from_millis(self.random.random_range(0..longest_ms));
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.end_overdue_exchanges(now));
    }

    /// Delivers a write whose sender no longer waits for the reply.
    fn deliver_delayed_write(&mut self) {
        if !self.delayed_writes.is_empty() && !self.outage {
            let position = self.random.random_range(0..self.delayed_writes.len());
            match self.delayed_writes.swap_remove(position) {
                DelayedWrite::Session(zone, write) => drop(self.store_session(zone, &write)),
                DelayedWrite::Split(write) => drop(self.store_split(&write)),
            }
        }
    }

    fn store_session(&mut self, zone: usize, write: &SessionWrite) -> Option<u64> {
        let object = &mut self.sessions[zone];
        (object.0 == write.expected).then(|| {
            let version = write.expected.unwrap_or(0) + 1;
            *object = (Some(version), Some(write.record.clone()));
            version
        })
    }

    fn store_split(&mut self, write: &SiteWrite) -> Option<u64> {
        let version = self.split.as_ref().map(|(version, _)| *version);
        (version == write.expected).then(|| {
            let version = write.expected.unwrap_or(0) + 1;
            self.split = Some((version, write.split.clone()));
            version
        })
    }

    fn run_node(&mut self) {
        let position = self.random.random_range(0..self.nodes.len());
        if self.nodes[position].paused {
            return;
        }
        match self.random.random_range(0..10) {
            0..2 => self.acquire_slots(position),
            _ if self.outage => {}
            2..4 => self.renew_session(position),
            4..6 => self.nodes[position].site.on_read(self.split.clone()),
            6 => self.read_sessions(position),
            _ => self.write_split(position),
        }
    }

    fn renew_session(&mut self, position: usize) {
        let now = self.now;
        let zone = self.nodes[position].zone;
        let electors: BTreeSet<Arc<str>> =
            self.nodes.iter().filter(|n| n.zone == zone).map(|n| n.name.clone()).collect();
        let (version, record) = self.sessions[zone].clone();
        let node = &mut self.nodes[position];
        node.session.on_read(now, version, record);
        let Some(write) = node.session.next_write(now, &electors) else { return };
        if self.random.random_bool(0.1) {
            self.delayed_writes.push(DelayedWrite::Session(zone, write));
            return;
        }
        let written = self.store_session(zone, &write);
        let answered = self.random.random_bool(0.9);
        if let Some(version) = written.filter(|_| answered) {
            self.nodes[position].session.on_written(now, version);
        }
    }

    fn read_sessions(&mut self, position: usize) {
        let now = self.now;
        for (zone, (version, _)) in self.sessions.iter().enumerate() {
            self.nodes[position].zone_sessions.on_read(zone_name(zone), *version, now);
        }
    }

    /// Writes a split based on the last read of the split and the current sessions.
    fn write_split(&mut self, position: usize) {
        self.read_sessions(position);
        let demand = self.random.random_range(0..CAPACITY);
        let Some(write) = self.nodes[position].next_write(self.now, demand) else { return };
        if self.random.random_bool(0.1) {
            self.delayed_writes.push(DelayedWrite::Split(write));
            return;
        }
        let written = self.store_split(&write);
        let answered = self.random.random_bool(0.9);
        if let Some(version) = written.filter(|_| answered) {
            self.nodes[position].site.on_written(write, version);
        }
    }

    fn acquire_slots(&mut self, position: usize) {
        let (now, times) = (self.now, self.random.random_range(0..6));
        let node = &mut self.nodes[position];
        node.grant_self(now);
        for _ in 0..times {
            if let Ok(permit) = node.shares.acquire(&"z".into(), &"s".into(), now) {
                node.exchanges.push((now, permit));
                self.acquired += 1;
            }
        }
        if self.random.random_bool(0.5) {
            node.end_exchanges();
        }
    }

    fn check(&self) {
        let occupied = |node: &Node| {
            let could = node.shares.allowance(&site(), self.now);
            could.max(node.exchanges.len() as u64)
        };
        let occupied: u64 = self.nodes.iter().map(occupied).sum();
        assert!(occupied <= CAPACITY, "{occupied} slots could be occupied");
        let parts = self.split.iter().flat_map(|(_, split)| split.parts.values());
        assert!(parts.map(|part| part.slots).sum::<u64>() <= CAPACITY);
    }
}

impl Node {
    fn next_write(&mut self, now: Time, demand: u64) -> Option<SiteWrite> {
        let run = self.session.lease_generation(now)?;
        self.ensure_allocator(now)?;
        let allocator = self.allocator.as_ref()?;
        let zones = (0..ZONES).map(zone_name);
        let expired_zones =
            zones.filter(|zone| self.zone_sessions.has_expired(zone, now)).collect();
        let view = SiteView {
            lease_generation: run,
            remainder: CAPACITY,
            baseline: CAPACITY / 4,
            demand,
            max_in_use: allocator.sites_open(now).then(|| allocator.max_in_use(&site(), now)),
            expired_zones: &expired_zones,
        };
        self.writes += 1;
        let write = WriteId { writer: self.me.0, number: self.writes };
        self.site.next_write(&view, write)
    }

    fn ensure_allocator(&mut self, now: Time) -> Option<()> {
        let epoch = self.session.held_epoch(now)?;
        if self.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != epoch) {
            self.allocator = Some(Allocator::new(epoch, now, self.session.is_first_epoch()));
        }
        Some(())
    }

    fn grant_self(&mut self, now: Time) -> Option<()> {
        self.ensure_allocator(now)?;
        let run = self.session.lease_generation(now)?;
        let rest = BTreeMap::from([(site(), self.site.usable(run)), (link(), 1_000_000)]);
        let request = self.shares.next_request(now);
        let grant = self.allocator.as_mut()?.grant(self.me, &request, &rest, now)?;
        self.shares.on_grant(&grant, now, now).ok()
    }

    fn end_exchanges(&mut self) {
        let Node { shares, exchanges, .. } = self;
        exchanges.drain(..).for_each(|(_, permit)| shares.release(&permit));
    }

    /// Ends exchanges that exceed the time for which slots count as occupied.
    fn end_overdue_exchanges(&mut self, now: Time) {
        let Node { shares, exchanges, .. } = self;
        exchanges.retain(|(at, permit)| {
            let is_overdue = now.since(*at) > SLOT_HOLD;
            if is_overdue {
                shares.release(permit);
            }
            !is_overdue
        });
    }
}

fn link() -> Resource {
    Resource::Link { to: "z".into() }
}

#[test]
fn no_site_exceeds_its_capacity_under_random_schedules() {
    let mut acquired = 0;
    for seed in 0..200 {
        let mut world = World::new(seed);
        (0..6_000).for_each(|_| world.step());
        acquired += world.acquired;
    }

    assert!(acquired > 10_000, "only {acquired} slots were taken");
}
