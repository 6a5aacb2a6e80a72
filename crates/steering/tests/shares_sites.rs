//! One site split between availability zones, under random schedules: lost answers, writes that
//! arrive late, outages, pauses, and sessions that change hands or are lost for good.
//!
//! At every step the slots that all zones occupy, or could, stay within the capacity.

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

/// An instance that holds its zone's session, or would like to, and grants to itself only.
struct Node {
    zone: usize,
    name: Arc<str>,
    me: Incarnation,
    session: Session,
    allocator: Option<Allocator>,
    site: SiteShare,
    lapses: ZoneSessions,
    shares: Shares,
    exchanges: Vec<(Time, Permit)>,
    writes: u64,
    paused: bool,
}

#[derive(Clone)]
enum LateWrite {
    Session(usize, SessionWrite),
    Split(SiteWrite),
}

struct World {
    random: SmallRng,
    now: Time,
    nodes: Vec<Node>,
    sessions: Vec<(Option<u64>, Option<SessionRecord>)>,
    split: Option<(u64, SiteSplit)>,
    late: Vec<LateWrite>,
    outage: bool,
    spent: u64,
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
        lapses: ZoneSessions::default(),
        shares,
        exchanges: Vec::new(),
        writes: 0,
        paused: false,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let places = (0..ZONES).flat_map(|zone| (0..NODES_PER_ZONE).map(move |n| (zone, n)));
        let nodes = places.map(|(zone, number)| node(zone, number, &mut random)).collect();
        let sessions = vec![(None, None); ZONES];
        let now = Time::from_ms(100_000);
        let (split, late, outage, spent) = (None, Vec::new(), false, 0);
        Self { random, now, nodes, sessions, split, late, outage, spent }
    }

    fn step(&mut self) {
        match self.random.random_range(0..1_000) {
            0..60 => self.pass_time(),
            60..900 => self.act(),
            900..960 => self.arrive_late(),
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
        self.nodes.iter_mut().for_each(|node| node.end_late_exchanges(now));
    }

    /// A write whose answer was given up arrives after all.
    fn arrive_late(&mut self) {
        if !self.late.is_empty() && !self.outage {
            let position = self.random.random_range(0..self.late.len());
            match self.late.swap_remove(position) {
                LateWrite::Session(zone, write) => drop(self.store_session(zone, &write)),
                LateWrite::Split(write) => drop(self.store_split(&write)),
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

    fn act(&mut self) {
        let position = self.random.random_range(0..self.nodes.len());
        if self.nodes[position].paused {
            return;
        }
        match self.random.random_range(0..10) {
            0..2 => self.use_slots(position),
            _ if self.outage => {}
            2..4 => self.renew(position),
            4..6 => self.nodes[position].site.on_read(self.split.clone()),
            6 => self.look_at_sessions(position),
            _ => self.write_split(position),
        }
    }

    fn renew(&mut self, position: usize) {
        let now = self.now;
        let zone = self.nodes[position].zone;
        let electors: BTreeSet<Arc<str>> =
            self.nodes.iter().filter(|n| n.zone == zone).map(|n| n.name.clone()).collect();
        let (version, record) = self.sessions[zone].clone();
        let node = &mut self.nodes[position];
        node.session.on_read(now, version, record);
        let Some(write) = node.session.next_write(now, &electors) else { return };
        if self.random.random_bool(0.1) {
            self.late.push(LateWrite::Session(zone, write));
            return;
        }
        let written = self.store_session(zone, &write);
        let answered = self.random.random_bool(0.9);
        if let Some(version) = written.filter(|_| answered) {
            self.nodes[position].session.on_written(now, version);
        }
    }

    fn look_at_sessions(&mut self, position: usize) {
        let now = self.now;
        for (zone, (version, _)) in self.sessions.iter().enumerate() {
            self.nodes[position].lapses.on_read(zone_name(zone), *version, now);
        }
    }

    /// Decides on what was read of the split before, and on sessions as they are now.
    fn write_split(&mut self, position: usize) {
        self.look_at_sessions(position);
        let wanted = self.random.random_range(0..CAPACITY);
        let Some(write) = self.nodes[position].next_write(self.now, wanted) else { return };
        if self.random.random_bool(0.1) {
            self.late.push(LateWrite::Split(write));
            return;
        }
        let written = self.store_split(&write);
        let answered = self.random.random_bool(0.9);
        if let Some(version) = written.filter(|_| answered) {
            self.nodes[position].site.on_written(write, version);
        }
    }

    fn use_slots(&mut self, position: usize) {
        let (now, times) = (self.now, self.random.random_range(0..6));
        let node = &mut self.nodes[position];
        node.grant_self(now);
        for _ in 0..times {
            if let Ok(spent) = node.shares.acquire(&"z".into(), &"s".into(), now) {
                node.exchanges.push((now, spent));
                self.spent += 1;
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
    fn next_write(&mut self, now: Time, wanted: u64) -> Option<SiteWrite> {
        let run = self.session.lease_generation(now)?;
        self.hold(now)?;
        let allocator = self.allocator.as_ref()?;
        let zones = (0..ZONES).map(zone_name);
        let lapsed = zones.filter(|zone| self.lapses.has_expired(zone, now)).collect();
        let view = SiteView {
            lease_generation: run,
            remainder: CAPACITY,
            baseline: CAPACITY / 4,
            demand: wanted,
            max_in_use: allocator.sites_open(now).then(|| allocator.max_in_use(&site(), now)),
            expired_zones: &lapsed,
        };
        self.writes += 1;
        let write = WriteId { writer: self.me.0, number: self.writes };
        self.site.next_write(&view, write)
    }

    fn hold(&mut self, now: Time) -> Option<()> {
        let epoch = self.session.held_epoch(now)?;
        if self.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != epoch) {
            self.allocator = Some(Allocator::new(epoch, now, self.session.is_first_epoch()));
        }
        Some(())
    }

    fn grant_self(&mut self, now: Time) -> Option<()> {
        self.hold(now)?;
        let run = self.session.lease_generation(now)?;
        let rest = BTreeMap::from([(site(), self.site.usable(run)), (link(), 1_000_000)]);
        let ask = self.shares.next_request(now);
        let grant = self.allocator.as_mut()?.grant(self.me, &ask, &rest, now)?;
        self.shares.on_grant(&grant, now, now).ok()
    }

    fn end_exchanges(&mut self) {
        let Node { shares, exchanges, .. } = self;
        exchanges.drain(..).for_each(|(_, spent)| shares.release(&spent));
    }

    /// No exchange outlasts the time that slots count as occupied.
    fn end_late_exchanges(&mut self, now: Time) {
        let Node { shares, exchanges, .. } = self;
        exchanges.retain(|(at, spent)| {
            let late = now.since(*at) > SLOT_HOLD;
            if late {
                shares.release(spent);
            }
            !late
        });
    }
}

fn link() -> Resource {
    Resource::Link { to: "z".into() }
}

#[test]
fn no_site_is_overfilled_under_random_schedules() {
    let mut spent = 0;
    for seed in 0..200 {
        let mut world = World::new(seed);
        (0..6_000).for_each(|_| world.step());
        spent += world.spent;
    }

    assert!(spent > 10_000, "only {spent} slots were taken");
}
