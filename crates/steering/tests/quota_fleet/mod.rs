//! Simulates the limiters of a whole fleet: a network that loses, delays and partitions, instances
//! that crash, restart and are suspended, and callers of customers.
#![allow(dead_code, reason = "tests and the bench target use different parts")]

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use steering::Time;
use steering::deployment::{CustomerId, Quota};
use steering::quota::{Decision, Fleet, Limit, Limiter, MemberId, QuotaCheck, QuotaTerms, Ticket};

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Interval at which an instance updates its view of the others: one heartbeat.
const VIEW_INTERVAL: Duration = Duration::from_millis(800);

/// Time without a heartbeat after which an instance is considered lost.
const LOST_AFTER: Duration = Duration::from_millis(3_800);

/// One-way latency within a region and between regions, including processing on a small instance.
const LOCAL_LATENCY: Duration = Duration::from_millis(2);
const REMOTE_LATENCY: Duration = Duration::from_millis(37);

/// Creates the limiter of an instance that starts.
pub(crate) type MakeLimiter = fn(MemberId, u64) -> Box<dyn Limiter>;

/// A customer, and the load of its callers.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) quota: Quota,
    /// Requests per second over all instances.
    pub(crate) requests_per_s: f64,
    /// Relative part of them in each region.
    pub(crate) regions: Vec<f64>,
    /// Whether the customer's requests are not allowed to run in the regions where they arrive.
    pub(crate) is_disallowed_region: bool,
}

/// A fault or a change of load.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Instances crash, and restart after some time.
    Kill { nodes: Vec<usize>, down: Duration },
    /// Instances are suspended.
    Suspend { nodes: Vec<usize>, time: Duration },
    /// Datagrams from other instances to these are lost, and those in the other direction unless
    /// `one_way`.
    Cut { nodes: Vec<usize>, one_way: bool, time: Duration },
    /// A customer sends a multiple of its usual load from now on.
    Demand { load: usize, factor: f64 },
    /// A customer's requests arrive in other regions from now on.
    Shift { load: usize, regions: Vec<f64> },
    /// A customer has another quota from now on; instances learn of it within two seconds.
    Quota { load: usize, quota: Quota },
}

/// A simulation.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) regions: usize,
    pub(crate) nodes_per_region: usize,
    pub(crate) loads: Vec<Load>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// Fraction of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Fraction of the datagrams that are delayed, and the maximum delay.
    pub(crate) delay: (f64, Duration),
    /// Whether instances count only reachable ones, which is incorrect.
    pub(crate) counts_reachable_only: bool,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
}

/// The terms of the bound in all simulations.
pub(crate) fn terms() -> QuotaTerms {
    QuotaTerms { window: 5 * SECOND, overage: 0.1, slack: 20.0 }
}

/// Time until a lowered quota applies: until all instances know it, and one window.
const LOWERED_QUOTA_DELAY: Duration = Duration::from_secs(3 + 5);

/// Requests that may run in a window under a quota.
pub(crate) fn bound(quota: Quota) -> f64 {
    let terms = terms();
    let in_window = quota.rate_per_s * terms.window.as_secs_f64() + quota.burst;
    in_window * (1.0 + terms.overage) + terms.slack
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// For each customer: the maximum number of requests beyond the bound in any window; negative
    /// within it.
    pub(crate) excess: Vec<f64>,
    /// Requests that a central quota would have granted, and how many of them were refused.
    pub(crate) entitled: u64,
    pub(crate) refused: u64,
    /// The same for each customer.
    pub(crate) entitled_by_customer: Vec<(u64, u64)>,
    /// Times at which requests ran, by customer.
    pub(crate) ran: Vec<Vec<Time>>,
    pub(crate) requests: u64,
    pub(crate) waited_ms: Vec<f64>,
    pub(crate) bytes: u64,
    pub(crate) datagrams: u64,
    /// Time spent in limiters.
    pub(crate) cpu_time: Duration,
}

enum Event {
    View(usize, u64),
    Step(usize, u64),
    Arrive(usize, u64),
    Deliver(usize, usize, Vec<u8>),
    Start(usize),
    Wake(usize, u64),
    Learn(usize, u64),
    Fault(usize),
}

struct Node {
    limiter: Option<Box<dyn Limiter>>,
    region: usize,
    starts: u64,
    suspended_until: Time,
    queued: Vec<(usize, Vec<u8>)>,
    last_heartbeat_at: Vec<Time>,
    pending: HashMap<Ticket, (usize, Time, bool)>,
    quotas: Vec<Quota>,
    step_at: Time,
}

/// A central quota.
struct Reference {
    level: f64,
    at: Time,
}

struct World<'a> {
    setup: &'a Setup,
    make_limiter: MakeLimiter,
    random: SmallRng,
    now: Time,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    by_number: HashMap<u64, Event>,
    next: u64,
    loads: Vec<Load>,
    load_epochs: Vec<u64>,
    cuts: Vec<(Vec<usize>, bool, Time)>,
    references: Vec<Reference>,
    /// For each customer: its quotas, with the time since when each applies.
    quotas: Vec<Vec<(Time, Quota)>>,
    outcome: Outcome,
}

fn id(node: usize) -> MemberId {
    MemberId::from_name(&format!("instance-{node}"))
}

pub(crate) fn customer(load: usize) -> CustomerId {
    CustomerId::from_name(&format!("customer-{load}"))
}

/// Simulates a setup with limiters of one kind.
pub(crate) fn simulate(setup: &Setup, make_limiter: MakeLimiter) -> Outcome {
    let count = setup.regions * setup.nodes_per_region;
    let start = Time::from_ms(1_000_000);
    let quotas: Vec<Quota> = setup.loads.iter().map(|load| load.quota).collect();
    let node = |index: usize| Node {
        limiter: None,
        region: index % setup.regions,
        starts: 0,
        suspended_until: start,
        queued: Vec::new(),
        last_heartbeat_at: vec![start; count],
        pending: HashMap::new(),
        quotas: quotas.clone(),
        step_at: start,
    };
    let mut world = World {
        setup,
        make_limiter,
        random: SmallRng::seed_from_u64(setup.seed),
        now: start,
        nodes: (0..count).map(node).collect(),
        events: BinaryHeap::new(),
        by_number: HashMap::new(),
        next: 0,
        loads: setup.loads.clone(),
        load_epochs: vec![0; setup.loads.len()],
        cuts: Vec::new(),
        references: quotas
            .iter()
            .map(|quota| Reference { level: quota.burst, at: start })
            .collect(),
        quotas: quotas.iter().map(|quota| vec![(start, *quota)]).collect(),
        outcome: Outcome {
            ran: vec![Vec::new(); setup.loads.len()],
            entitled_by_customer: vec![(0, 0); setup.loads.len()],
            ..Outcome::default()
        },
    };
    for index in 0..count {
        world.start(index);
    }
    // Instances start before callers.
    for load in 0..setup.loads.len() {
        world.plan(start + 10 * SECOND, Event::Arrive(load, 0));
    }
    for (index, (after, _)) in setup.faults.iter().enumerate() {
        world.plan(start + 10 * SECOND + *after, Event::Fault(index));
    }
    world.run(start + 10 * SECOND + setup.length);
    let quotas = std::mem::take(&mut world.quotas);
    let mut outcome = world.outcome;
    outcome.excess =
        outcome.ran.iter().zip(&quotas).map(|(ran, quotas)| worst_excess(ran, quotas)).collect();
    outcome
}

/// The maximum number of requests beyond the bound in any window.
fn worst_excess(ran: &[Time], quotas: &[(Time, Quota)]) -> f64 {
    let window = terms().window;
    let mut first = 0;
    let mut worst = f64::NEG_INFINITY;
    for (last, at) in ran.iter().enumerate() {
        while at.since(ran[first]) >= window {
            first += 1;
        }
        // A lowered quota applies later; until then the highest of the recent quotas applies.
        let applicable = quotas.iter().enumerate().filter(|(index, _)| {
            quotas.get(index + 1).is_none_or(|(next, _)| *at <= *next + LOWERED_QUOTA_DELAY)
        });
        let most = applicable.map(|(_, (_, quota))| bound(*quota)).fold(0.0, f64::max);
        worst = worst.max((last + 1 - first) as f64 - most);
    }
    worst
}

impl World<'_> {
    fn plan(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.by_number.insert(self.next, event);
        self.events.push(Reverse((at.max(self.now), self.next)));
    }

    fn run(&mut self, end: Time) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(event) = self.by_number.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::View(node, start) if self.is_current_start(node, start) => {
                if !self.is_suspended(node) {
                    self.view(node);
                }
                self.plan(self.now + VIEW_INTERVAL, Event::View(node, start));
            }
            Event::Step(node, start)
                if self.is_current_start(node, start) && !self.is_suspended(node) =>
            {
                let now = self.now;
                self.with(node, |limiter| limiter.step(now));
            }
            Event::Arrive(load, epoch) if self.load_epochs[load] == epoch => {
                self.arrive(load, epoch)
            }
            Event::Deliver(from, to, bytes) => self.deliver(from, to, bytes),
            Event::Start(node) => self.start(node),
            Event::Wake(node, start) if self.is_current_start(node, start) => {
                for (from, bytes) in std::mem::take(&mut self.nodes[node].queued) {
                    self.deliver(from, node, bytes);
                }
                let now = self.now;
                self.with(node, |limiter| limiter.step(now));
            }
            Event::Learn(node, start) if self.is_current_start(node, start) => self.learn(node),
            Event::Fault(index) => self.apply_fault(index),
            _ => {}
        }
    }

    fn is_current_start(&self, node: usize, start: u64) -> bool {
        self.nodes[node].starts == start && self.nodes[node].limiter.is_some()
    }

    fn is_suspended(&self, node: usize) -> bool {
        self.nodes[node].suspended_until > self.now
    }

    fn start(&mut self, node: usize) {
        let (now, make_limiter) = (self.now, self.make_limiter);
        let node_state = &mut self.nodes[node];
        node_state.starts += 1;
        let starts = node_state.starts;
        node_state.limiter = Some(make_limiter(id(node), now.as_ns() / 1_000_000));
        node_state.last_heartbeat_at.iter_mut().for_each(|at| *at = now);
        node_state.quotas =
            self.quotas.iter().map(|history| history[history.len() - 1].1).collect();
        self.learn(node);
        let first = Duration::from_micros(self.random.random_range(200_000..800_000));
        self.plan(self.now + first, Event::View(node, starts));
    }

    fn learn(&mut self, node: usize) {
        let now = self.now;
        let newest: Vec<Quota> =
            self.quotas.iter().map(|history| history[history.len() - 1].1).collect();
        self.nodes[node].quotas = newest.clone();
        let limits: BTreeMap<CustomerId, Limit> = newest
            .iter()
            .enumerate()
            .map(|(load, quota)| {
                let limit = if self.loads[load].is_disallowed_region {
                    Limit::for_disallowed_region
                } else {
                    Limit::new
                };
                (customer(load), limit(*quota, terms()))
            })
            .collect();
        self.with(node, |limiter| limiter.set_limits(limits, now));
    }

    fn view(&mut self, node: usize) {
        let now = self.now;
        for other in 0..self.nodes.len() {
            let is_up = self.nodes[other].limiter.is_some() && !self.is_suspended(other);
            if is_up && self.reaches(other, node) {
                self.nodes[node].last_heartbeat_at[other] = now;
            }
        }
        let node_state = &self.nodes[node];
        let is_alive = |other: usize| {
            other == node || now.since(node_state.last_heartbeat_at[other]) < LOST_AFTER
        };
        let of_region = |region: usize| -> Vec<MemberId> {
            let all = 0..self.nodes.len();
            all.filter(|node| self.nodes[*node].region == region && is_alive(*node))
                .map(id)
                .collect()
        };
        let others = (0..self.setup.regions).filter(|region| *region != node_state.region);
        let other_regions: Vec<Vec<MemberId>> = others.map(of_region).collect();
        let region_members = of_region(node_state.region);
        let alive = region_members.len() + other_regions.iter().map(Vec::len).sum::<usize>();
        let size = if self.setup.counts_reachable_only { alive } else { self.nodes.len() };
        let fleet = Fleet { own: id(node), region_members, other_regions, size };
        self.with(node, |limiter| limiter.set_fleet(fleet, now));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().all(|(nodes, one_way, until)| {
            let (sender, reader) = (nodes.contains(&from), nodes.contains(&to));
            *until <= self.now || sender == reader || (*one_way && sender)
        })
    }

    /// Calls a limiter, and processes its datagrams and decisions.
    fn with(&mut self, node: usize, call: impl FnOnce(&mut dyn Limiter)) {
        let Some(mut limiter) = self.nodes[node].limiter.take() else { return };
        let began = std::time::Instant::now();
        call(&mut *limiter);
        let datagrams = limiter.take_datagrams();
        let decisions = limiter.take_decisions();
        self.outcome.cpu_time += began.elapsed();
        let due = limiter.due();
        let starts = self.nodes[node].starts;
        self.nodes[node].limiter = Some(limiter);
        if due < Time::from_ns(u64::MAX) && (due != self.nodes[node].step_at || due <= self.now) {
            self.nodes[node].step_at = due;
            // A timer never fires early, nor twice at the same time.
            let at = due.max(self.now + Duration::from_millis(1));
            self.plan(at, Event::Step(node, starts));
        }
        for (ticket, decision) in decisions {
            if let Some((load, asked_at, is_entitled)) = self.nodes[node].pending.remove(&ticket) {
                let waited = self.now.since(asked_at).as_secs_f64() * 1_000.0;
                self.outcome.waited_ms.push(waited);
                self.on_decision(load, decision, is_entitled);
            }
        }
        for (to, bytes) in datagrams {
            self.send(node, to, bytes);
        }
    }

    fn send(&mut self, from: usize, to: MemberId, bytes: Vec<u8>) {
        let Some(to) = (0..self.nodes.len()).find(|node| id(*node) == to) else { return };
        self.outcome.bytes += bytes.len() as u64 + 28;
        self.outcome.datagrams += 1;
        if !self.reaches(from, to) || self.random.random_bool(self.setup.loss) {
            return;
        }
        let latency = if self.nodes[from].region == self.nodes[to].region {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        };
        let (fraction, max_delay) = self.setup.delay;
        let delay = if self.random.random_bool(fraction) {
            max_delay.mul_f64(self.random.random())
        } else {
            Duration::ZERO
        };
        self.plan(self.now + latency + delay, Event::Deliver(from, to, bytes));
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.nodes[to].limiter.is_none() {
            return;
        }
        if self.is_suspended(to) {
            self.nodes[to].queued.push((from, bytes));
            return;
        }
        let now = self.now;
        self.with(to, |limiter| {
            limiter.receive(&bytes, now);
        });
    }

    fn arrive(&mut self, load: usize, epoch: u64) {
        let requests_per_s = self.loads[load].requests_per_s;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / requests_per_s;
        self.plan(self.now + Duration::from_secs_f64(gap), Event::Arrive(load, epoch));
        let Some(node) = self.choose_node(load) else { return };
        self.outcome.requests += 1;
        let is_entitled = self.reference_grants(load);
        let now = self.now;
        let mut answer = None;
        self.with(node, |limiter| answer = Some(limiter.acquire(customer(load), now)));
        match answer {
            Some(QuotaCheck::Decided(decision)) => self.on_decision(load, decision, is_entitled),
            Some(QuotaCheck::Pending(ticket)) => {
                self.nodes[node].pending.insert(ticket, (load, now, is_entitled));
            }
            None => {}
        }
    }

    /// Chooses an instance for a request of a customer.
    fn choose_node(&mut self, load: usize) -> Option<usize> {
        let regions = self.loads[load].regions.clone();
        let mut place = self.random.random::<f64>() * regions.iter().sum::<f64>();
        let region = regions.iter().position(|weight| {
            place -= weight;
            place <= 0.0
        })?;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| {
                self.nodes[*node].region == region && self.nodes[*node].limiter.is_some()
            })
            .filter(|node| !self.is_suspended(*node))
            .collect();
        up.choose(&mut self.random).copied()
    }

    fn reference_grants(&mut self, load: usize) -> bool {
        let (_, quota) = self.quotas[load][self.quotas[load].len() - 1];
        let reference = &mut self.references[load];
        let accrued = quota.rate_per_s * self.now.since(reference.at).as_secs_f64();
        reference.level = (reference.level + accrued).min(quota.burst.max(1.0));
        reference.at = self.now;
        let grants = reference.level >= 1.0;
        if grants {
            reference.level -= 1.0;
        }
        grants
    }

    fn on_decision(&mut self, load: usize, decision: Decision, is_entitled: bool) {
        let is_refused = matches!(decision, Decision::Refused { .. });
        if !is_refused {
            self.outcome.ran[load].push(self.now);
        }
        if is_entitled {
            self.outcome.entitled += 1;
            self.outcome.refused += u64::from(is_refused);
            self.outcome.entitled_by_customer[load].0 += 1;
            self.outcome.entitled_by_customer[load].1 += u64::from(is_refused);
        }
    }

    fn apply_fault(&mut self, index: usize) {
        let now = self.now;
        match self.setup.faults[index].1.clone() {
            Fault::Kill { nodes, down } => {
                for node in nodes {
                    self.nodes[node].limiter = None;
                    self.nodes[node].pending.clear();
                    self.nodes[node].queued.clear();
                    self.plan(now + down, Event::Start(node));
                }
            }
            Fault::Suspend { nodes, time } => {
                for node in nodes {
                    self.nodes[node].suspended_until = now + time;
                    let starts = self.nodes[node].starts;
                    self.plan(now + time, Event::Wake(node, starts));
                }
            }
            Fault::Cut { nodes, one_way, time } => self.cuts.push((nodes, one_way, now + time)),
            Fault::Demand { load, factor } => {
                self.loads[load].requests_per_s = self.setup.loads[load].requests_per_s * factor;
                self.load_epochs[load] += 1;
                self.plan(now, Event::Arrive(load, self.load_epochs[load]));
            }
            Fault::Shift { load, regions } => self.loads[load].regions = regions,
            Fault::Quota { load, quota } => {
                self.quotas[load].push((now, quota));
                for node in 0..self.nodes.len() {
                    let after = Duration::from_millis(self.random.random_range(0..2_000));
                    let starts = self.nodes[node].starts;
                    self.plan(now + after, Event::Learn(node, starts));
                }
            }
        }
    }
}
