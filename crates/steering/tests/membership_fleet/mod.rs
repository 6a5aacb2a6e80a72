//! A simulated fleet of instances that gossip with each other.

#![allow(dead_code, reason = "each test file uses a part of it")]

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::membership::{
    Description, Incoming, Listed, MemberState, Membership, Outgoing, OwnInstance, Status,
};
use steering::{Incarnation, Time};

pub(crate) const PERIOD: Duration = Duration::from_secs(1);
const BUDGET_BYTES: usize = 450;
const SIZE_BYTES: usize = 100;

/// One instance; its descriptions have an empty payload.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) generation: u64,
    pub(crate) table: Membership<()>,
    pub(crate) alive: bool,
}

/// A sent message and its receiver.
#[derive(Clone)]
pub(crate) struct Sent {
    pub(crate) to: usize,
    pub(crate) incoming: Incoming<()>,
}

/// Instances in several availability zones, with a common clock.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Node>,
    pub(crate) sent: Vec<Sent>,
    /// Pairs of availability zones that can't reach each other.
    pub(crate) cuts: Vec<(Arc<str>, Arc<str>)>,
    rng: StdRng,
}

pub(crate) fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

fn table(
    number: usize,
    name: &Arc<str>,
    zone: &Arc<str>,
    incarnation: u64,
    generation: u64,
) -> Membership<()> {
    let mut table = Membership::new(OwnInstance {
        name: name.clone(),
        availability_zone: zone.clone(),
        incarnation: Incarnation(incarnation),
        generation,
        caller_address: address(number),
        peer_address: address(number),
    });
    table.describe(Status::Serving, (), false);
    table
}

impl Fleet {
    /// Creates a fleet with `per_zone` instances in each of `zones` availability zones, all listed.
    pub(crate) fn new(zones: usize, per_zone: usize, seed: u64) -> Self {
        let nodes: Vec<Node> = (0..zones * per_zone)
            .map(|number| {
                let zone: Arc<str> = format!("zone-{}", number / per_zone).into();
                let name: Arc<str> = format!("instance-{number}").into();
                let table = table(number, &name, &zone, number as u64, 100);
                let incarnation = number as u64;
                Node { name, zone, incarnation, generation: 100, table, alive: true }
            })
            .collect();
        let rng = StdRng::seed_from_u64(seed);
        let mut fleet =
            Self { now: Time::from_ms(1_000_000), nodes, sent: Vec::new(), cuts: Vec::new(), rng };
        fleet.list_all();
        fleet
    }

    /// Gives every instance the complete list.
    pub(crate) fn list_all(&mut self) {
        let now = self.now;
        let entries = self.entries();
        for node in &mut self.nodes {
            node.table.apply_list(now, entries.clone());
        }
    }

    pub(crate) fn entries(&self) -> Vec<Listed> {
        let entry = |(number, node): (usize, &Node)| Listed {
            name: node.name.clone(),
            availability_zone: node.zone.clone(),
            caller_address: address(number),
            peer_address: address(number),
            leaving: false,
        };
        self.nodes.iter().enumerate().map(entry).collect()
    }

    /// Restarts an instance with a new incarnation.
    pub(crate) fn restart(&mut self, number: usize, generation: u64) {
        let entries = self.entries();
        let node = &mut self.nodes[number];
        node.incarnation += 1_000;
        node.generation = generation;
        node.alive = true;
        node.table = table(number, &node.name, &node.zone, node.incarnation, generation);
        node.table.apply_list(self.now, entries);
    }

    /// Advances the clock by one period; each live instance renews its description and gossips once
    /// with each target.
    pub(crate) fn round(&mut self) {
        self.now += PERIOD;
        for number in 0..self.nodes.len() {
            if !self.nodes[number].alive {
                continue;
            }
            let now = self.now;
            let node = &mut self.nodes[number];
            node.table.describe(Status::Serving, (), false);
            for target in node.table.targets(now, &mut self.rng) {
                let to = self.node_number(&target.name);
                self.exchange(number, to, false, false);
            }
        }
    }

    pub(crate) fn node_number(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| &*node.name == name).expect("known")
    }

    /// Exchanges messages between two instances; the request or the reply may be lost.
    pub(crate) fn exchange(
        &mut self,
        from: usize,
        to: usize,
        request_lost: bool,
        reply_lost: bool,
    ) {
        let name = self.nodes[to].name.clone();
        let refused = !self.nodes[to].alive || self.is_cut(from, to);
        let request = self.compose(from, to);
        if refused {
            self.nodes[from].table.record_failure(self.now, &name, true);
            return;
        }
        if !request_lost {
            self.deliver(request);
            let reply = self.compose(to, from);
            if !reply_lost {
                let sync = self.nodes[from].table.sync_request(&self.nodes[to].zone);
                self.deliver(reply);
                if let Some(sync) = sync {
                    let size = |_: &Description<()>| SIZE_BYTES;
                    let page = self.nodes[to].table.sync_page(self.now, &sync, BUDGET_BYTES, size);
                    for aged in page.descriptions {
                        self.nodes[from].table.merge_description(
                            self.now,
                            aged.description,
                            aged.age,
                        );
                    }
                    self.nodes[from].table.record_synced_page(&sync, page.more_after);
                }
                return;
            }
        }
        self.nodes[from].table.record_failure(self.now, &name, false);
    }

    /// Delivers a message, which may have been delivered before.
    pub(crate) fn deliver(&mut self, sent: Sent) {
        if self.nodes[sent.to].alive {
            self.nodes[sent.to].table.receive(self.now, sent.incoming);
        }
    }

    pub(crate) fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        self.nodes[observer].table.state(self.now, &self.nodes[subject].name)
    }

    /// Returns whether every live instance knows the current generation of every other live one
    /// and considers it usable.
    pub(crate) fn has_converged(&self) -> bool {
        let alive = || (0..self.nodes.len()).filter(|number| self.nodes[*number].alive);
        alive().all(|observer| {
            alive().filter(|subject| *subject != observer).all(|subject| {
                let own = self.nodes[subject].table.own_description().expect("described").version;
                let known = self.nodes[observer].table.version(&self.nodes[subject].name);
                let usable = self.state(observer, subject).is_some_and(MemberState::is_usable);
                usable && known.is_some_and(|known| known.generation == own.generation)
            })
        })
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].zone, &self.nodes[b].zone);
        self.cuts.iter().any(|(x, y)| (x == a && y == b) || (x == b && y == a))
    }

    fn compose(&mut self, from: usize, to: usize) -> Sent {
        let zone = self.nodes[to].zone.clone();
        let node = &mut self.nodes[from];
        let outgoing: Outgoing<()> =
            node.table.compose_message(self.now, &zone, BUDGET_BYTES, |_| SIZE_BYTES);
        let incoming = Incoming {
            from: node.name.clone(),
            from_zone: node.zone.clone(),
            descriptions: outgoing.descriptions,
            suspicions: outgoing.suspicions,
            unreachable_zones: outgoing.unreachable_zones,
        };
        let sent = Sent { to, incoming };
        self.sent.push(sent.clone());
        sent
    }
}
