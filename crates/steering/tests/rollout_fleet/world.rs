//! The simulated fleet: instances, a network and a store, in steps of simulated time.

use super::node::{Node, new_table};
use super::outcome::Outcome;
use super::progress::{ProgressObject, ProgressWrite};
use super::requests::RequestInFlight;
use super::setup::{Defect, Fault, Setup};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::deployment::{Rollout, RolloutOrder, RolloutOutcome, Rollouts};
use steering::gossip::{FANOUT, STEADY_FANOUT};
use steering::quota::MemberId;
use steering::rollout::{Members, StepActions};

/// Steps of the simulation per second.
pub(crate) const STEPS_PER_S: u64 = 50;

/// Length of a step of the simulation.
pub(super) const STEP: Duration = Duration::from_millis(1_000 / STEPS_PER_S);

/// Time until the others detect that an instance ended.
pub(super) const LOST_AFTER: Duration = Duration::from_millis(3_800);

/// Interval between steps of the tables, and between two rounds of gossip.
const TABLE_STEP_INTERVAL_MS: u64 = 300;
const GOSSIP_INTERVAL_MS: u64 = 800;

/// Time of the order.
pub(super) const START: Time = Time::from_ms(100_000);

pub(super) const SERVICE: &str = "dossier";

pub(super) enum Message {
    Announcements(Vec<u8>),
    Report(Vec<u8>),
}

pub(super) struct World {
    pub(super) setup: Setup,
    pub(super) random: SmallRng,
    /// For the store, so that it doesn't change what else is drawn.
    pub(super) store_random: SmallRng,
    pub(super) now: Time,
    pub(super) nodes: Vec<Node>,
    pub(super) in_transit: BTreeMap<u64, Vec<(usize, Message)>>,
    /// Requests in flight by the time at which they end.
    pub(super) endings: BTreeMap<u64, Vec<RequestInFlight>>,
    pub(super) stored: Option<RolloutOutcome>,
    /// Counts changes in the store; the order is the first.
    pub(super) revision: u64,
    pub(super) run_by_target: u64,
    pub(super) bad_at: Option<Time>,
    pub(super) object: ProgressObject,
    /// Writes of progress by the time at which they reach the store.
    pub(super) writes: BTreeMap<u64, Vec<ProgressWrite>>,
    /// When the store held a rollback first.
    pub(super) rolled_back_at: Option<Time>,
    pub(super) outcome: Outcome,
}

pub(super) fn order(duration: Duration) -> RolloutOrder {
    RolloutOrder::new(SERVICE, SERVICE, "v2", duration.as_secs_f64(), 1).expect("it is valid")
}

impl World {
    pub(super) fn new(setup: Setup) -> Self {
        let mut random = SmallRng::seed_from_u64(setup.seed);
        let store_random = SmallRng::seed_from_u64(!setup.seed);
        // Some time after the machines started.
        let now = START;
        let nodes = (0..setup.instances).map(|number| {
            let id = MemberId::from_name(&format!("instance-{number}"));
            Node {
                id,
                // It started long before the order.
                table: new_table(id, 1, setup.defect, Time::default()),
                start_count: 1,
                known_revision: 0,
                next_update_at: now + Duration::from_millis(random.random_range(20..600)),
                down_since: Time::default(),
                down_until: Time::default(),
                cut_until: Time::default(),
                send_blocked_until: Time::default(),
                no_store_until: Time::default(),
                suspended_until: Time::default(),
                last_fault_at: Time::default(),
                table_step_at: now
                    + Duration::from_millis(random.random_range(0..TABLE_STEP_INTERVAL_MS)),
                gossip_at: now + Duration::from_millis(random.random_range(0..GOSSIP_INTERVAL_MS)),
                received: 0,
                is_informed: false,
            }
        });
        Self {
            nodes: nodes.collect(),
            random,
            store_random,
            now,
            in_transit: BTreeMap::new(),
            endings: BTreeMap::new(),
            stored: None,
            revision: 1,
            run_by_target: 0,
            bad_at: None,
            object: ProgressObject::default(),
            writes: BTreeMap::new(),
            rolled_back_at: None,
            outcome: Outcome::default(),
            setup,
        }
    }

    pub(super) fn rollouts(&self) -> Rollouts {
        let order = order(self.setup.duration);
        let is_visible = self.setup.defect != Defect::IgnoresRollback;
        let outcome = self.stored.filter(|_| is_visible);
        [(Arc::from(SERVICE), Rollout { order, outcome })].into()
    }

    /// Each instance learns of a change in the store after some time, if it is connected.
    pub(super) fn learn(&mut self) {
        let rollouts = self.rollouts();
        let (now, revision) = (self.now, self.revision);
        for node in &mut self.nodes {
            let can_update =
                node.is_running(now) && now >= node.cut_until && now >= node.next_update_at;
            if node.known_revision < revision && can_update {
                node.known_revision = revision;
                node.table.set_orders(&rollouts, now);
            }
        }
    }

    pub(super) fn members(&self) -> Members {
        let seems_alive = |node: &&Node| {
            node.down_until <= self.now || self.now.since(node.down_since) < LOST_AFTER
        };
        let all = self.nodes.iter().filter(seems_alive);
        let all = all.map(|node| (node.id, self.now >= node.no_store_until)).collect();
        Members::new(all).with_fleet_size(self.nodes.len())
    }

    pub(super) fn step(&mut self, elapsed: Duration) {
        self.now += STEP;
        self.begin_faults(elapsed);
        self.learn();
        self.apply_progress_writes();
        self.deliver();
        self.end_requests();
        self.send_requests(elapsed);
        for number in 0..self.nodes.len() {
            let now = self.now;
            if !self.nodes[number].is_running(now) {
                continue;
            }
            if self.nodes[number].table_step_at <= now {
                self.nodes[number].table_step_at =
                    now + Duration::from_millis(TABLE_STEP_INTERVAL_MS);
                let members = self.members();
                let node = &mut self.nodes[number];
                node.table.set_members(members);
                node.table.set_version_capacity(SERVICE, self.setup.capacity);
                let step = node.table.step(now);
                self.perform(number, step);
            }
            if self.nodes[number].gossip_at <= now {
                self.nodes[number].gossip_at = now + Duration::from_millis(GOSSIP_INTERVAL_MS);
                let fresh = self.nodes[number].table.has_recent_changes(now);
                let fanout = fresh.map(|fresh| if fresh { FANOUT } else { STEADY_FANOUT });
                self.gossip(number, fanout.unwrap_or(0));
            }
        }
    }

    pub(super) fn begin_faults(&mut self, elapsed: Duration) {
        let now = self.now;
        let is_due = |at: &Duration| *at <= elapsed && elapsed < *at + STEP;
        let due: Vec<Fault> = self
            .setup
            .faults
            .iter()
            .filter(|(at, _)| is_due(at))
            .map(|fault| fault.1.clone())
            .collect();
        for fault in due {
            let (from, count) = match fault {
                Fault::Restart { from, count, .. }
                | Fault::Cut { from, count, .. }
                | Fault::OneWay { from, count, .. }
                | Fault::NoStore { from, count, .. }
                | Fault::Suspended { from, count, .. } => (from, count),
            };
            for offset in 0..count.min(self.nodes.len()) {
                let number = (from + offset) % self.nodes.len();
                let (defect, revision) = (self.setup.defect, self.revision);
                let node = &mut self.nodes[number];
                node.last_fault_at = now;
                match fault {
                    Fault::Cut { time, .. } => node.cut_until = now + time,
                    Fault::OneWay { time, .. } => node.send_blocked_until = now + time,
                    Fault::NoStore { time, .. } => node.no_store_until = now + time,
                    Fault::Suspended { time, .. } => node.suspended_until = now + time,
                    Fault::Restart { down, .. } => {
                        node.down_since = now;
                        node.down_until = now + down;
                        node.start_count += 1;
                        node.table = new_table(node.id, node.start_count, defect, node.down_until);
                        node.is_informed = defect == Defect::ForgetsOrder;
                        node.known_revision = 0;
                        if defect == Defect::ForgetsOrder {
                            node.known_revision = revision;
                        }
                        node.next_update_at = node.down_until + Duration::from_millis(200);
                    }
                }
            }
        }
    }

    /// Returns whether messages from one instance reach another.
    pub(super) fn passes(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let are_cut = self.now < from.cut_until || self.now < to.cut_until;
        !are_cut && self.now >= from.send_blocked_until
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Announcements(bytes) | Message::Report(bytes) => bytes.len() as u64 + 29,
        };
        self.outcome.messages += 1;
        self.outcome.bytes += bytes;
        if !self.passes(from, to) || self.random.random_bool(self.setup.loss) {
            return;
        }
        let delay = if from % 3 == to % 3 { 1 } else { 2 };
        let at = self.now.as_ns() + delay * STEP.as_nanos() as u64;
        self.in_transit.entry(at).or_default().push((to, message));
    }

    pub(super) fn gossip(&mut self, from: usize, count: usize) {
        if self.setup.defect == Defect::NeverAnnounces {
            return;
        }
        for _ in 0..count {
            let Some(bytes) = self.nodes[from].table.encode_announcements(self.now) else { return };
            let to = self.random.random_range(0..self.nodes.len());
            self.send(from, to, Message::Announcements(bytes));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        while let Some(entry) =
            self.in_transit.first_entry().filter(|entry| *entry.key() <= now.as_ns())
        {
            for (to, message) in entry.remove() {
                let node = &mut self.nodes[to];
                if !node.is_running(now) {
                    continue;
                }
                node.received += 1;
                match message {
                    Message::Announcements(bytes) => {
                        node.is_informed = true;
                        let changes =
                            node.table.merge_announcements(&bytes, now).expect("it can be decoded");
                        if !changes.is_empty() {
                            self.gossip(to, FANOUT);
                        }
                    }
                    Message::Report(report) => {
                        assert!(node.table.receive_report(&report), "it can be decoded");
                    }
                }
            }
        }
    }

    pub(super) fn perform(&mut self, number: usize, step: StepActions) {
        if !step.changes.is_empty() {
            self.gossip(number, FANOUT);
        }
        for (judge, report) in step.reports {
            let to = self.nodes.iter().position(|node| node.id == judge);
            if let Some(to) = to.filter(|_| self.setup.defect != Defect::DropsReports) {
                self.send(number, to, Message::Report(report));
            }
        }
        let node = &self.nodes[number];
        let reaches = self.now >= node.no_store_until && self.now >= node.cut_until;
        for sync in step.syncs {
            if reaches {
                self.sync_progress(number, sync);
            }
        }
        let accepts = self.now.since(START) >= self.setup.no_outcomes_until;
        for write in step.writes {
            if !reaches || !accepts || self.setup.defect == Defect::NeverAnnounces {
                continue;
            }
            match self.stored {
                // The store never overwrites an outcome.
                Some(_) => {}
                None => self.record_outcome(write.outcome),
            }
        }
    }

    pub(super) fn record_outcome(&mut self, outcome: RolloutOutcome) {
        self.stored = Some(outcome);
        if outcome == RolloutOutcome::RolledBack {
            self.rolled_back_at.get_or_insert(self.now);
        }
        self.revision += 1;
        let since = self.now.since(START);
        self.outcome.ended = Some((outcome, since));
        if outcome == RolloutOutcome::Succeeded {
            let in_flight = self.endings.values().flatten().filter(|request| !request.is_target);
            self.outcome.interrupted = in_flight.count() as u64;
        }
        for node in &mut self.nodes {
            node.next_update_at =
                self.now + Duration::from_millis(self.random.random_range(20..900));
        }
    }
}
