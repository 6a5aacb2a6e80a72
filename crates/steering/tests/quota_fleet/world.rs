//! What happens in a simulated fleet: instances that start, learn, crash and are suspended, datagrams, and
//! requests.

use super::{
    Event, Fault, LOCAL_LATENCY, LOST_AFTER, REMOTE_LATENCY, VIEW_INTERVAL, World, customer, id,
    terms,
};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use steering::Time;
use steering::deployment::CustomerId;
use steering::deployment::Quota;
use steering::quota::Decision;
use steering::quota::Fleet;
use steering::quota::Limit;
use steering::quota::Limiter;
use steering::quota::MemberId;
use steering::quota::QuotaCheck;

impl World<'_> {
    pub(super) fn plan(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.by_number.insert(self.next, event);
        self.events.push(Reverse((at.max(self.now), self.next)));
    }

    pub(super) fn run(&mut self, end: Time) {
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

    pub(super) fn start(&mut self, node: usize) {
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
