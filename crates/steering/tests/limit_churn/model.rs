//! Model of the instances of a region and one backend server that states a limit.
//!
//! Instances keep their own tables of others, by heartbeats that some of them may not hear, and
//! exchange real messages about the limit. Instances crash and start again without state.

use super::placement_common::{SERVICE, name, peer, placement_request, roster, servers};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::BackendServers;
use steering::gossip::{FANOUT, STEADY_FANOUT};
use steering::placement::load::LoadReport;
use steering::placement::{Condition, Ending, Limit, Peer, Peers, Roster, start_id};
use steering::reach::reports::Unreached;

/// The server that states a limit; five others of its region don't.
const LIMITED: &str = "north-a-0";

const STEP_MS: u64 = 10;
const ANSWER_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 800;

/// Time after its first response with the limit from which an instance's requests count, in
/// milliseconds.
const LEARNED_DELAY_MS: u64 = 500;

/// Time after which an instance notices that it is cut off, in milliseconds.
const NOTICED_AFTER_MS: u64 = 600;

/// Length of a window, and the time after the limit began from which windows count, in
/// milliseconds.
pub(crate) const WINDOW_MS: u64 = 4_000;

/// Which instances hear each other's heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Views {
    /// All.
    Whole,
    /// Those of the same piece of the region, from a time on.
    Pieces { count: usize, from_ms: u64 },
    /// Each one only a part of the others, which is another one every heartbeat.
    Drawn { part: f64 },
}

/// Deaths of instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deaths {
    /// Time between two deaths, in milliseconds; the instance that sent last dies.
    pub(crate) every_ms: u64,
    /// Time after which it starts again, in milliseconds.
    pub(crate) down_ms: u64,
}

/// Cuts between instances and all backend servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cuts {
    /// Time between the begins of two cuts, in milliseconds; the instance that sent last is cut off.
    pub(crate) every_ms: u64,
    /// Length of a cut, in milliseconds.
    pub(crate) length_ms: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) instances: usize,
    pub(crate) limit_per_s: f64,
    pub(crate) requests_per_s: f64,
    pub(crate) views: Views,
    pub(crate) deaths: Option<Deaths>,
    pub(crate) cuts: Option<Cuts>,
    /// Time from which callers reach no instance that has sent under the limit, in milliseconds.
    pub(crate) senders_unused_from_ms: Option<u64>,
    pub(crate) end_ms: u64,
    pub(crate) seed: u64,
}

/// Returns the requests that are allowed in a window.
pub(crate) fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

struct Instance {
    own: Peer,
    roster: Roster,
    peers: Peers,
    /// Time of its first response that stated the limit.
    learned_ms: Option<u64>,
    down_until_ms: Option<u64>,
    /// Begin and end of its last cut.
    cut_ms: Option<(u64, u64)>,
    has_sent: bool,
}

impl Instance {
    fn is_cut_off(&self, at_ms: u64) -> bool {
        self.cut_ms.is_some_and(|(from_ms, until_ms)| (from_ms..until_ms).contains(&at_ms))
    }
}

struct Due {
    at_ms: u64,
    instance: usize,
    started_ms: u64,
    server: Arc<str>,
}

struct Model {
    scenario: Scenario,
    start: Instant,
    records: BackendServers,
    instances: Vec<Instance>,
    due: VecDeque<Due>,
    random: StdRng,
    last_sender: Option<usize>,
    arrivals: Arrivals,
}

/// Times of requests to the limited server, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Those from instances that had received a response with the limit.
    informed_ms: Vec<u64>,
    all_ms: Vec<u64>,
}

impl Arrivals {
    /// Returns the most requests within a window, of instances that knew the limit.
    pub(crate) fn max_in_window(&self) -> usize {
        let settled = || self.informed_ms.iter().filter(|at_ms| **at_ms >= WINDOW_MS);
        let within =
            |from: &u64| settled().filter(|at| (*from..*from + WINDOW_MS).contains(at)).count();
        settled().map(within).max().unwrap_or(0)
    }

    /// Returns the number of requests from a time on.
    pub(crate) fn count_from(&self, from_ms: u64) -> usize {
        self.all_ms.iter().filter(|at_ms| **at_ms >= from_ms).count()
    }
}

/// Runs a scenario.
pub(crate) fn run(scenario: Scenario) -> Arrivals {
    let mut model = Model::new(scenario);
    for at_ms in (0..scenario.end_ms).step_by(STEP_MS as usize) {
        model.step(at_ms);
    }
    model.arrivals
}

impl Model {
    fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let records = servers(&[("north-a", 3), ("north-b", 3)], 9);
        let instances = (0..scenario.instances)
            .map(|number| {
                let own = peer(&format!("instance-{number}"), "north-a");
                Instance {
                    roster: roster(&own.name, "north-a", &records, start),
                    own,
                    peers: Peers::default(),
                    learned_ms: None,
                    down_until_ms: None,
                    cut_ms: None,
                    has_sent: false,
                }
            })
            .collect();
        Self {
            scenario,
            start,
            records,
            instances,
            due: VecDeque::new(),
            random: StdRng::seed_from_u64(scenario.seed),
            last_sender: None,
            arrivals: Arrivals::default(),
        }
    }

    fn now(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn step(&mut self, at_ms: u64) {
        self.crash_and_start(at_ms);
        self.cut(at_ms);
        self.answer(at_ms);
        let count = self.instances.len() as u64;
        for number in 0..self.instances.len() {
            let offset_ms = HEARTBEAT_MS * number as u64 / count / STEP_MS * STEP_MS;
            if (at_ms + offset_ms).is_multiple_of(HEARTBEAT_MS) {
                self.heartbeat(number, at_ms);
            }
        }
        let mut wanted = self.scenario.requests_per_s * STEP_MS as f64 / 1_000.0;
        while self.random.random::<f64>() < wanted {
            self.request(at_ms);
            wanted -= 1.0;
        }
    }

    fn crash_and_start(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        for instance in &mut self.instances {
            if instance.down_until_ms.is_some_and(|until_ms| until_ms <= at_ms) {
                instance.down_until_ms = None;
                instance.own.started_ms += 1;
                instance.own.heartbeat = 1;
                instance.roster = roster(&instance.own.name, "north-a", &self.records, now);
                instance.peers = Peers::default();
                instance.learned_ms = None;
            }
        }
        let Some(Deaths { every_ms, down_ms }) = self.scenario.deaths else { return };
        if at_ms <= WINDOW_MS || !at_ms.is_multiple_of(every_ms) {
            return;
        }
        let Some(victim) = self.last_sender.take() else { return };
        self.instances[victim].down_until_ms = Some(at_ms + down_ms);
    }

    /// Cuts off the instance that sent last, and lets those that are cut off notice and tell it.
    fn cut(&mut self, at_ms: u64) {
        let Some(Cuts { every_ms, length_ms }) = self.scenario.cuts else { return };
        if at_ms > WINDOW_MS
            && at_ms.is_multiple_of(every_ms)
            && let Some(sender) = self.last_sender.take()
        {
            self.instances[sender].cut_ms = Some((at_ms, at_ms + length_ms));
        }
        let now = self.now(at_ms);
        for number in 0..self.instances.len() {
            let Instance { own, peers, cut_ms, .. } = &mut self.instances[number];
            let Some((from_ms, until_ms)) = *cut_ms else { continue };
            let is_noticed = at_ms >= from_ms + NOTICED_AFTER_MS && at_ms < until_ms;
            let unreached = if is_noticed { Unreached::All } else { Unreached::None };
            if peers.reach.set_own(start_id(own), unreached, now) {
                self.gossip_reach(number, FANOUT, at_ms);
            }
        }
    }

    fn gossip_reach(&mut self, sender: usize, count: usize, at_ms: u64) {
        let Some(message) = self.instances[sender].peers.reach.encode(&mut self.random) else {
            return;
        };
        let now = self.now(at_ms);
        for receiver in self.receivers(sender, count, at_ms) {
            let Instance { own, peers, .. } = &mut self.instances[receiver];
            peers.reach.merge(start_id(own), &message, now);
        }
    }

    /// Draws instances that receive what `sender` sends to this many.
    fn receivers(&mut self, sender: usize, count: usize, at_ms: u64) -> Vec<usize> {
        let mut receivers: Vec<usize> =
            (0..self.instances.len()).filter(|receiver| *receiver != sender).collect();
        receivers.shuffle(&mut self.random);
        receivers.truncate(count);
        receivers.retain(|receiver| {
            self.instances[*receiver].down_until_ms.is_none()
                && self.hears(*receiver, sender, at_ms)
        });
        receivers
    }

    fn hears(&mut self, receiver: usize, sender: usize, at_ms: u64) -> bool {
        match self.scenario.views {
            Views::Whole => true,
            Views::Pieces { count, from_ms } => {
                at_ms < from_ms || receiver % count == sender % count
            }
            Views::Drawn { part } => self.random.random::<f64>() < part,
        }
    }

    /// Records the heartbeats of the instances that this one hears, and updates its shares.
    fn heartbeat(&mut self, number: usize, at_ms: u64) {
        if self.instances[number].down_until_ms.is_some() {
            return;
        }
        let now = self.now(at_ms);
        self.instances[number].own.heartbeat += 1;
        if matches!(self.scenario.views, Views::Drawn { .. }) {
            self.instances[number].peers = Peers::default();
        }
        for other in 0..self.instances.len() {
            if other == number
                || self.instances[other].down_until_ms.is_some()
                || !self.hears(number, other, at_ms)
            {
                continue;
            }
            let heard = self.instances[other].own.clone();
            self.instances[number].peers.record(heard, now);
        }
        let instance = &mut self.instances[number];
        instance.peers.prune(now);
        let own = instance.own.clone();
        instance.peers.reach.refresh(start_id(&own), now);
        instance.roster.update_shares(&own, &instance.peers, now);
        let recent = instance.roster.has_recent_conditions(now) == Some(true);
        let reach_count = match instance.peers.reach.has_recent_changes(now) {
            Some(true) => FANOUT,
            _ => STEADY_FANOUT,
        };
        self.gossip_reach(number, reach_count, at_ms);
        self.gossip(number, if recent { FANOUT } else { STEADY_FANOUT }, at_ms);
    }

    fn gossip(&mut self, sender: usize, count: usize, at_ms: u64) {
        if self.instances[sender].down_until_ms.is_some() {
            return;
        }
        let now = self.now(at_ms);
        let Some(message) = self.instances[sender].roster.encode_conditions(&mut self.random, now)
        else {
            return;
        };
        for receiver in self.receivers(sender, count, at_ms) {
            self.instances[receiver].roster.merge_conditions(&message, now);
        }
    }

    fn answer(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        while self.due.front().is_some_and(|due| due.at_ms <= at_ms) {
            let Some(Due { instance, started_ms, server, .. }) = self.due.pop_front() else {
                return;
            };
            let running = self.due.iter().filter(|other| other.server == server).count() + 1;
            let running = u32::try_from(running).expect("a few requests");
            let instance = &mut self.instances[instance];
            if instance.down_until_ms.is_some() || instance.own.started_ms != started_ms {
                continue;
            }
            let ending = Ending::Answered {
                after: Duration::from_millis(ANSWER_MS),
                was_object_warm: false,
            };
            let report = LoadReport { running, waiting: 0, slots: 9 };
            instance.roster.record_ending(&*server, ending, Some(report), now);
            if *server == *LIMITED {
                let limit = Limit::PerSecond(self.scenario.limit_per_s);
                let condition = Condition { limit, ..Condition::default() };
                instance.roster.record_condition(&*server, condition, now);
                instance.learned_ms.get_or_insert(at_ms);
            }
        }
    }

    fn request(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        let number = self.random.random_range(0..self.instances.len());
        let key_hash = self.random.random();
        let unused = self.scenario.senders_unused_from_ms.is_some_and(|from_ms| at_ms >= from_ms);
        let instance = &mut self.instances[number];
        if instance.down_until_ms.is_some() || unused && instance.has_sent {
            return;
        }
        let service = name(SERVICE);
        let request = placement_request(&service, key_hash, &[]);
        let Ok(choice) = instance.roster.choose(&request, now) else { return };
        if instance.is_cut_off(at_ms) {
            return;
        }
        if *choice.id == *LIMITED {
            let knew = instance.learned_ms.is_some_and(|ms| ms + LEARNED_DELAY_MS <= at_ms);
            self.arrivals.all_ms.push(at_ms);
            if knew {
                self.arrivals.informed_ms.push(at_ms);
            }
            if at_ms >= WINDOW_MS {
                self.last_sender = Some(number);
                instance.has_sent = unused || self.scenario.senders_unused_from_ms.is_none();
            }
        }
        let started_ms = instance.own.started_ms;
        let at_ms = at_ms + ANSWER_MS;
        self.due.push_back(Due { at_ms, instance: number, started_ms, server: choice.id });
    }
}
