//! The fleet: instances, a network and a store, in steps of simulated time.

use super::node::{Node, new_table};
use super::outcome::Outcome;
use super::requests::UnderWay;
use super::setup::{Mutant, Setup, Trouble};
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

/// One second in steps of the simulation.
pub(crate) const STEPS_PER_S: u64 = 50;

/// Step of the simulation.
pub(super) const STEP: Duration = Duration::from_millis(1_000 / STEPS_PER_S);

/// Time in which the others learn that an instance ended.
pub(super) const LOST_AFTER: Duration = Duration::from_millis(3_800);

/// Time between steps of the tables, and between two rounds of telling.
const TABLE_STEP_MS: u64 = 300;
const BEAT_MS: u64 = 800;

pub(super) const SERVICE: &str = "dossier";

pub(super) enum Message {
    Announcements(Vec<u8>),
    Report(Vec<u8>),
}

pub(super) struct World {
    pub(super) setup: Setup,
    pub(super) random: SmallRng,
    pub(super) now: Time,
    pub(super) nodes: Vec<Node>,
    pub(super) on_the_way: BTreeMap<u64, Vec<(usize, Message)>>,
    /// Requests under way: when they end, at which instance's which life, and what is seen of them.
    pub(super) ends: BTreeMap<u64, Vec<UnderWay>>,
    pub(super) stored: Option<RolloutOutcome>,
    /// Counts changes in the store; the order is the first.
    pub(super) revision: u64,
    pub(super) run_by_target: u64,
    pub(super) bad_at: Option<Time>,
    pub(super) outcome: Outcome,
}

pub(super) fn order(duration: Duration) -> RolloutOrder {
    RolloutOrder::new(SERVICE, SERVICE, "v2", duration.as_secs_f64(), 1).expect("it is valid")
}

impl World {
    pub(super) fn new(setup: Setup) -> Self {
        let mut random = SmallRng::seed_from_u64(setup.seed);
        // Long after the machines started.
        let now = Time::from_ms(100_000);
        let nodes = (0..setup.instances).map(|number| {
            let id = MemberId::from_name(&format!("instance-{number}"));
            Node {
                id,
                table: new_table(id, 1, setup.mutant),
                life: 1,
                knows: 0,
                learns_at: now + Duration::from_millis(random.random_range(20..600)),
                down_since: Time::default(),
                down_until: Time::default(),
                cut_until: Time::default(),
                mute_until: Time::default(),
                no_store_until: Time::default(),
                suspended_until: Time::default(),
                calm_since: Time::default(),
                table_step_at: now + Duration::from_millis(random.random_range(0..TABLE_STEP_MS)),
                beat_at: now + Duration::from_millis(random.random_range(0..BEAT_MS)),
                heard: 0,
            }
        });
        Self {
            nodes: nodes.collect(),
            random,
            now,
            on_the_way: BTreeMap::new(),
            ends: BTreeMap::new(),
            stored: None,
            revision: 1,
            run_by_target: 0,
            bad_at: None,
            outcome: Outcome::default(),
            setup,
        }
    }

    pub(super) fn rollouts(&self) -> Rollouts {
        let order = order(self.setup.duration);
        let heeded = self.setup.mutant != Mutant::ForgetsEnd;
        let outcome = self.stored.filter(|_| heeded);
        [(Arc::from(SERVICE), Rollout { order, outcome })].into()
    }

    /// Each instance learns what the store says some time after it changed, if it may.
    pub(super) fn learn(&mut self) {
        let rollouts = self.rollouts();
        let (now, revision) = (self.now, self.revision);
        for node in &mut self.nodes {
            let may = node.runs(now) && now >= node.cut_until && now >= node.learns_at;
            if node.knows < revision && may {
                node.knows = revision;
                node.table.set_orders(&rollouts, now);
            }
        }
    }

    pub(super) fn members(&self) -> Members {
        let seems_to_live = |node: &&Node| {
            node.down_until <= self.now || self.now.since(node.down_since) < LOST_AFTER
        };
        let all = self.nodes.iter().filter(seems_to_live);
        Members::new(all.map(|it| (it.id, self.now >= it.no_store_until)).collect())
    }

    pub(super) fn step(&mut self, elapsed: Duration) {
        self.now += STEP;
        self.begin_troubles(elapsed);
        self.learn();
        self.deliver();
        self.end_requests();
        self.ask(elapsed);
        for number in 0..self.nodes.len() {
            let now = self.now;
            if !self.nodes[number].runs(now) {
                continue;
            }
            if self.nodes[number].table_step_at <= now {
                self.nodes[number].table_step_at = now + Duration::from_millis(TABLE_STEP_MS);
                let members = self.members();
                let node = &mut self.nodes[number];
                node.table.set_members(members);
                node.table.set_version_capacity(SERVICE, self.setup.capacity);
                let step = node.table.step(now);
                self.act(number, step);
            }
            if self.nodes[number].beat_at <= now {
                self.nodes[number].beat_at = now + Duration::from_millis(BEAT_MS);
                let fresh = self.nodes[number].table.has_recent_changes(now);
                let fanout = fresh.map(|fresh| if fresh { FANOUT } else { STEADY_FANOUT });
                self.tell(number, fanout.unwrap_or(0));
            }
        }
    }

    pub(super) fn begin_troubles(&mut self, elapsed: Duration) {
        let now = self.now;
        let is_due = |at: &Duration| *at <= elapsed && elapsed < *at + STEP;
        let due: Vec<Trouble> = self
            .setup
            .troubles
            .iter()
            .filter(|(at, _)| is_due(at))
            .map(|it| it.1.clone())
            .collect();
        for trouble in due {
            let (from, count) = match trouble {
                Trouble::Restart { from, count, .. }
                | Trouble::Cut { from, count, .. }
                | Trouble::OneWay { from, count, .. }
                | Trouble::NoStore { from, count, .. }
                | Trouble::Suspended { from, count, .. } => (from, count),
            };
            for offset in 0..count.min(self.nodes.len()) {
                let number = (from + offset) % self.nodes.len();
                let (mutant, revision) = (self.setup.mutant, self.revision);
                let node = &mut self.nodes[number];
                node.calm_since = now;
                match trouble {
                    Trouble::Cut { time, .. } => node.cut_until = now + time,
                    Trouble::OneWay { time, .. } => node.mute_until = now + time,
                    Trouble::NoStore { time, .. } => node.no_store_until = now + time,
                    Trouble::Suspended { time, .. } => node.suspended_until = now + time,
                    Trouble::Restart { down, .. } => {
                        node.down_since = now;
                        node.down_until = now + down;
                        node.life += 1;
                        node.table = new_table(node.id, node.life, mutant);
                        node.knows = 0;
                        if mutant == Mutant::TrustsAfterRestart {
                            node.knows = revision;
                        }
                        node.learns_at = node.down_until + Duration::from_millis(200);
                    }
                }
            }
        }
    }

    /// Tells whether what one instance sends reaches another.
    pub(super) fn passes(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let are_cut = self.now < from.cut_until || self.now < to.cut_until;
        !are_cut && self.now >= from.mute_until
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
        self.on_the_way.entry(at).or_default().push((to, message));
    }

    pub(super) fn tell(&mut self, from: usize, count: usize) {
        if self.setup.mutant == Mutant::KeepsToItself {
            return;
        }
        for _ in 0..count {
            let Some(told) = self.nodes[from].table.encode_announcements(self.now) else { return };
            let to = self.random.random_range(0..self.nodes.len());
            self.send(from, to, Message::Announcements(told));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        while let Some(entry) = self.on_the_way.first_entry().filter(|it| *it.key() <= now.as_ns())
        {
            for (to, message) in entry.remove() {
                let node = &mut self.nodes[to];
                if !node.runs(now) {
                    continue;
                }
                node.heard += 1;
                match message {
                    Message::Announcements(told) => {
                        let changes =
                            node.table.merge_announcements(&told, now).expect("it can be read");
                        if !changes.is_empty() {
                            self.tell(to, FANOUT);
                        }
                    }
                    Message::Report(report) => {
                        assert!(node.table.receive_report(&report), "it can be read");
                    }
                }
            }
        }
    }

    pub(super) fn act(&mut self, number: usize, step: StepActions) {
        if !step.changes.is_empty() {
            self.tell(number, FANOUT);
        }
        for (judge, report) in step.reports {
            let to = self.nodes.iter().position(|node| node.id == judge);
            if let Some(to) = to.filter(|_| self.setup.mutant != Mutant::JudgesAlone) {
                self.send(number, to, Message::Report(report));
            }
        }
        let node = &self.nodes[number];
        let reaches = self.now >= node.no_store_until && self.now >= node.cut_until;
        for write in step.writes {
            if !reaches || self.setup.mutant == Mutant::KeepsToItself {
                continue;
            }
            match self.stored {
                // The store takes nothing over what it says already.
                Some(_) => {}
                None => self.end(write.outcome),
            }
        }
    }

    pub(super) fn end(&mut self, outcome: RolloutOutcome) {
        self.stored = Some(outcome);
        self.revision += 1;
        let since = self.now.since(Time::from_ms(100_000));
        self.outcome.ended = Some((outcome, since));
        if outcome == RolloutOutcome::Succeeded {
            let under_way = self.ends.values().flatten().filter(|it| !it.is_target);
            self.outcome.cut = under_way.count() as u64;
        }
        for node in &mut self.nodes {
            node.learns_at = self.now + Duration::from_millis(self.random.random_range(20..900));
        }
    }
}
