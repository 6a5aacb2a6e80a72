//! A simulated availability zone: the platform's objects, messages in transit, and faults.

use super::node::{Message, Node, local_time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use steering::shares::timing::SLOT_HOLD;
use steering::shares::{
    Cap, Permit, Plan, Reclaimer, Resource, Session, SessionRecord, Shares, SlotTable,
};

const LINK_CAP: u64 = 40;
const SITE_CAP: u64 = 10;
const INSTANCES: usize = 3;

/// Window in which acquired requests are summed; shorter than a second by the clock drift.
const CHECKED_WINDOW_NS: u64 = 985_000_000;

/// Additional faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Options {
    pub(crate) long_outages: bool,
    pub(crate) frequent_replacements: bool,
}

/// State of the simulation; `to` and `from` in its messages are incarnations.
pub(crate) struct World {
    options: Options,
    random: SmallRng,
    now_ns: u64,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    slots: (Option<u64>, SlotTable),
    session: (Option<u64>, Option<SessionRecord>),
    listed: BTreeSet<Arc<str>>,
    outage: bool,
    plan: Plan,
    acquired: Vec<u64>,
    acquired_total: u64,
}

fn link() -> Resource {
    Resource::Link { to: "z".into() }
}

fn site() -> Resource {
    Resource::Site { service: "s".into(), availability_zone: "z".into() }
}

impl World {
    pub(crate) fn new(options: Options, seed: u64) -> Self {
        let caps = BTreeMap::from([
            (
                link(),
                Cap { total: LINK_CAP, floor_total: 16, instance_slots: 4, is_own_zone: true },
            ),
            (site(), Cap { total: SITE_CAP, floor_total: 4, instance_slots: 4, is_own_zone: true }),
        ]);
        let mut world = Self {
            options,
            random: SmallRng::seed_from_u64(seed),
            now_ns: 1,
            nodes: Vec::new(),
            messages: Vec::new(),
            slots: (None, SlotTable::default()),
            session: (None, None),
            listed: BTreeSet::new(),
            outage: false,
            plan: Plan { caps, instance_slots: 4 },
            acquired: Vec::new(),
            acquired_total: 0,
        };
        (0..INSTANCES).for_each(|number| world.start(&format!("i{number}")));
        world
    }

    pub(crate) fn acquired_total(&self) -> u64 {
        self.acquired_total
    }

    /// Performs one random action, then checks the caps.
    pub(crate) fn step(&mut self) {
        match self.random.random_range(0..2_000) {
            0..100 => self.pass_time(),
            100..1_100 => self.deliver(),
            1_100..1_120 => self.lose_or_duplicate(),
            1_120..1_600 => self.start_operation(),
            1_600..1_950 => self.acquire(),
            1_950..1_953 => self.pause(),
            1_953..1_965 => self.resume(),
            1_965 => self.outage = true,
            1_966..1_970 => self.outage = false,
            1_970 => self.replace(),
            1_971..1_976 if self.options.frequent_replacements => self.replace(),
            1_976..1_980 => self.toggle_listing(),
            _ => self.end_exchanges(),
        }
        self.check();
    }

    fn start(&mut self, name: &str) {
        let incarnation = Incarnation(self.random.random());
        let clock = (self.random.random_range(0..1 << 40), self.random.random_range(996..1_005));
        let name: Arc<str> = name.into();
        let now = local_time(clock, self.now_ns);
        let mut shares = Shares::default();
        shares.set_plan(&self.plan);
        self.listed.insert(name.clone());
        self.nodes.push(Node {
            incarnation,
            name: name.clone(),
            clock,
            shares,
            session: Session::new(incarnation, name, now),
            allocator: None,
            reclaimer: Reclaimer::default(),
            contacts: HashMap::new(),
            table: None,
            exchanges: Vec::new(),
            writes: 0,
            paused: false,
        });
    }

    fn pass_time(&mut self) {
        let longest_ms = match self.random.random_range(0..1_000) {
            0..50 if self.options.frequent_replacements => 4_000_000,
            0..900 => 60,
            900..985 => 700,
            985..998 => 9_000,
            _ if self.options.long_outages => 4_000_000,
            _ => 20_000,
        };
        self.now_ns += self.random.random_range(0..longest_ms) * 1_000_000 + 1;
        self.end_overdue_exchanges();
    }

    /// Ends exchanges that approach the time for which slots count as occupied.
    fn end_overdue_exchanges(&mut self) {
        let oldest = self.now_ns.saturating_sub(SLOT_HOLD.as_nanos() as u64 * 9 / 10);
        for node in &mut self.nodes {
            let (overdue, rest) =
                std::mem::take(&mut node.exchanges).into_iter().partition(|(at, _)| *at < oldest);
            node.exchanges = rest;
            let overdue: Vec<(u64, Permit)> = overdue;
            overdue.iter().for_each(|(_, permit)| node.shares.release(permit));
        }
    }

    fn end_exchanges(&mut self) {
        for node in &mut self.nodes {
            let ended = std::mem::take(&mut node.exchanges);
            ended.iter().for_each(|(_, permit)| node.shares.release(permit));
        }
    }

    fn random_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn pause(&mut self) {
        let node = self.random_node();
        self.nodes[node].paused = true;
    }

    fn resume(&mut self) {
        let node = self.random_node();
        self.nodes[node].paused = false;
    }

    /// Kills an instance, and starts one with the same or another name.
    fn replace(&mut self) {
        let node = self.random_node();
        let old = self.nodes.swap_remove(node);
        if self.random.random_bool(0.3) {
            self.start(&old.name);
            return;
        }
        if self.random.random_bool(0.8) {
            self.listed.remove(&old.name);
        }
        let name = format!("r{:x}", self.random.random::<u64>());
        self.start(&name);
    }

    /// Toggles whether a live instance is listed.
    fn toggle_listing(&mut self) {
        let node = self.random_node();
        let name = self.nodes[node].name.clone();
        if !self.listed.remove(&name) {
            self.listed.insert(name);
        }
    }

    fn lose_or_duplicate(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(position);
        // A duplicated write is refused the second time, as the object's version has changed.
        if self.random.random_bool(0.5) {
            self.messages.extend([message.clone(), message]);
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        // Mostly the oldest message, so that operations complete.
        let position = if self.random.random_bool(0.7) {
            0
        } else {
            self.random.random_range(0..self.messages.len())
        };
        let message = self.messages.remove(position);
        self.handle(message);
    }

    fn acquire(&mut self) {
        let node = self.random_node();
        let times = self.random.random_range(1..30);
        let now_ns = self.now_ns;
        let node = &mut self.nodes[node];
        if node.paused {
            return;
        }
        for _ in 0..times {
            let now = node.now(now_ns);
            if let Ok(permit) = node.shares.acquire(&"z".into(), &"s".into(), now) {
                self.acquired.push(now_ns);
                self.acquired_total += 1;
                node.exchanges.push((now_ns, permit));
            } else {
                node.shares.record_unmet_demand(&"z".into(), &"s".into(), now);
            }
        }
        // Most exchanges are short.
        while node.exchanges.len() > 1 && self.random.random_bool(0.8) {
            let (_, permit) = node.exchanges.remove(0);
            node.shares.release(&permit);
        }
    }

    fn check(&mut self) {
        let oldest = self.now_ns.saturating_sub(CHECKED_WINDOW_NS);
        self.acquired.retain(|at| *at > oldest);
        assert!(
            self.acquired.len() as u64 <= LINK_CAP,
            "link: {} requests in the window",
            self.acquired.len()
        );
        let could = |resource: &Resource| -> u64 {
            self.nodes.iter().map(|n| n.shares.allowance(resource, n.now(self.now_ns))).sum()
        };
        assert!(could(&link()) <= LINK_CAP, "link: {} requests could be sent", could(&link()));
        let occupied: u64 = self
            .nodes
            .iter()
            .map(|node| {
                let allowance = node.shares.allowance(&site(), node.now(self.now_ns));
                allowance.max(node.exchanges.len() as u64)
            })
            .sum();
        assert!(occupied <= SITE_CAP, "site: {occupied} slots could be occupied");
        let holders =
            self.nodes.iter().filter(|n| n.session.held_epoch(n.now(self.now_ns)).is_some());
        assert!(holders.count() <= 1, "two instances hold the session");
    }

    /// Starts a random operation of one instance.
    fn start_operation(&mut self) {
        let position = self.random_node();
        let choice = self.random.random_range(0..100);
        let outage = self.outage;
        let now_ns = self.now_ns;
        let names: HashMap<Arc<str>, u64> =
            self.nodes.iter().map(|node| (node.name.clone(), node.incarnation.0)).collect();
        let node = &mut self.nodes[position];
        if node.paused {
            return;
        }
        let now = node.now(now_ns);
        let from = node.incarnation.0;
        match choice {
            0..15 if !outage => self.messages.push(Message::ReadSlots { from, sent_at: now }),
            15..30 if !outage => self.messages.push(Message::ReadSession { from }),
            30..50 => {
                let Some(table) =
                    node.table.as_ref().filter(|t| t.slot_of(node.incarnation).is_some())
                else {
                    return;
                };
                let electors = table.owners().map(|(_, name)| name.clone()).collect();
                let Some(write) = node.session.next_write(now, &electors) else { return };
                match outage {
                    true => node.session.on_not_sent(),
                    false => self.messages.push(Message::WriteSession { from, write }),
                }
            }
            50..85 => {
                if node.grant_self(now, &self.plan) {
                    return;
                }
                let holder = node.session.holder_name().and_then(|name| names.get(name)).copied();
                let Some(to) = holder else { return };
                let request = node.shares.next_request(now);
                self.messages.push(Message::AllocationRequest { from, to, sent_at: now, request });
            }
            85..98 => {
                let Some(epoch) = node.session.expiring_epoch(now, Duration::from_secs(4)) else {
                    return;
                };
                let needed = node.session.other_electors();
                let asked = needed
                    .iter()
                    .filter_map(|name| names.get(name))
                    .map(|to| Message::PromiseRequest { from, to: *to, sent_at: now, epoch });
                self.messages.extend(asked);
            }
            98 => {
                let (epoch, number) = node.shares.release_grants();
                node.exchanges.drain(..).for_each(|(_, permit)| node.shares.release(&permit));
                let holder = node.session.holder_name().and_then(|name| names.get(name)).copied();
                let Some(to) = holder else { return };
                self.messages.push(Message::Release { from, to, epoch, number });
            }
            _ => {
                let Some(write) = node.session.release(now) else { return };
                if !outage {
                    self.messages.push(Message::WriteSession { from, write });
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::ReadSlots { from, sent_at } if !self.outage => {
                let (version, table) = self.slots.clone();
                self.messages.push(Message::SlotsRead { to: from, sent_at, version, table });
            }
            Message::WriteSlots { from, sent_at, table, expected, claim }
                if !self.outage && self.slots.0 == expected =>
            {
                let version = expected.map_or(1, |version| version + 1);
                self.slots = (Some(version), table.clone());
                self.messages.push(Message::SlotsWritten { to: from, sent_at, table, claim });
            }
            Message::ReadSession { from } if !self.outage => {
                let (version, record) = self.session.clone();
                self.messages.push(Message::SessionRead { to: from, version, record });
            }
            Message::WriteSession { from, write } if !self.outage => {
                let result = if self.session.0 == write.expected {
                    let version = write.expected.map_or(1, |version| version + 1);
                    self.session = (Some(version), Some(write.record.clone()));
                    Ok(version)
                } else {
                    Err(())
                };
                self.messages.push(Message::SessionWritten { to: from, write, result });
            }
            Message::SlotsRead { to, .. }
            | Message::SlotsWritten { to, .. }
            | Message::SessionRead { to, .. }
            | Message::SessionWritten { to, .. }
            | Message::AllocationRequest { to, .. }
            | Message::Grant { to, .. }
            | Message::Release { to, .. }
            | Message::PromiseRequest { to, .. }
            | Message::PromiseReply { to, .. } => self.handle_at_node(to, message),
            _ => {}
        }
    }

    /// Delivers a message to its instance; later if the instance is paused.
    fn handle_at_node(&mut self, to: u64, message: Message) {
        let now_ns = self.now_ns;
        let Some(node) = self.nodes.iter_mut().find(|node| node.incarnation.0 == to) else {
            return;
        };
        if node.paused {
            self.messages.push(message);
            return;
        }
        let now = node.now(now_ns);
        let reply = node.handle(message, now, &self.plan, &self.listed);
        self.messages.extend(reply);
    }
}
