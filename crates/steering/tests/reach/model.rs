//! Model of instances, of which some are cut off from all backend servers.
//!
//! Each instance has real decisions and real reports; requests, checks and messages take drawn times.

use super::placement_common::{ZONES, name, peer};
use super::scenario::{CONTACT_MS, Cut, Defect, Outcome, Scenario};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::gossip::{FANOUT, STEADY_FANOUT};
use steering::placement::peers::LOST_AFTER;
use steering::placement::{Incarnation, Peer, Peers, start_id};
use steering::reach::reports::{ReachReports, Unreached};
use steering::reach::{Change, FailedServer, Failure, Path, Reach, ServerCounts};
use steering::terms::timings::LivenessTimings;

const SERVICE_KEY: u32 = 1;
const HEARTBEAT_MS: u64 = 800;
const CHECK_INTERVAL_MS: u64 = 300;
const FIRST_CHECK_MS: u64 = 100;
const DIAL_TIMEOUT_MS: u64 = 450;
const RESPONSE_MS: u64 = 300;
const OVERDUE_MS: u64 = 900;
const BUSY_MS: u64 = 500;
const MAX_ATTEMPTS: u32 = 4;

struct Instance {
    own: Peer,
    peers: Peers,
    reach: Reach,
    is_checking: bool,
    losses: u32,
    avoided_until_ms: BTreeMap<Arc<str>, u64>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Request { instance: usize },
    Attempt { instance: usize, sent_ms: u64, number: u32 },
    Overdue { instance: usize, server: usize, since_ms: u64 },
    Ended { instance: usize, is_direct: bool },
    Heartbeat { instance: usize },
    Check { instance: usize },
    CheckEnds { instance: usize, server: usize, since_ms: u64 },
    Gossip { from: usize, to: usize },
}

struct Model {
    scenario: Scenario,
    start: Instant,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Orders events of one time.
    number: u64,
    random: StdRng,
    outcome: Outcome,
}

/// Runs a scenario until four seconds after its last cut.
pub(crate) fn run(scenario: Scenario) -> Outcome {
    let start = Instant::now();
    let mut instances: Vec<Instance> = (0..scenario.instances)
        .map(|number| {
            let own = peer(&format!("instance-{number}"), zone_of(number, scenario.instances));
            Instance {
                own,
                peers: peers(),
                reach: Reach::default(),
                is_checking: false,
                losses: 0,
                avoided_until_ms: BTreeMap::new(),
            }
        })
        .collect();
    let all: Vec<Peer> = instances.iter().map(|instance| instance.own.clone()).collect();
    for instance in &mut instances {
        for other in all.iter().filter(|other| other.name != instance.own.name) {
            instance.peers.record(other.clone(), start);
        }
    }
    let random = StdRng::seed_from_u64(scenario.seed);
    let events = BinaryHeap::new();
    let outcome = Outcome::default();
    let mut model = Model { scenario, start, instances, events, number: 0, random, outcome };
    model.begin();
    model.run();
    model.outcome
}

/// Peers that never count as lost, as liveness is not what this model is about.
fn peers() -> Peers {
    let lost_after = Duration::from_secs(3_600);
    let timings = LivenessTimings { lost_after, ..LivenessTimings::default() };
    let mut peers = Peers::in_zone(name("north-a"), timings);
    peers.reach = ReachReports::new(LOST_AFTER);
    peers
}

/// Four availability zones of two regions in turn, or two of one region for few instances.
pub(crate) fn zone_of(number: usize, instances: usize) -> &'static str {
    let zones = if instances < 12 { &ZONES[..2] } else { &ZONES[..] };
    zones[number % zones.len()].0
}

impl Model {
    fn end_ms(&self) -> u64 {
        self.scenario.spans_ms.last().map_or(0, |(_, until)| *until) + 4_000
    }

    fn begin(&mut self) {
        for instance in 0..self.instances.len() {
            let offset = self.random.random_range(0..HEARTBEAT_MS);
            self.at(offset, Event::Heartbeat { instance });
            self.at(offset / 8, Event::Request { instance });
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            if now_ms > self.end_ms() {
                break;
            }
            self.handle(event, now_ms);
        }
        let most = self.instances.iter().map(|instance| instance.losses).max();
        self.outcome.most_losses = most.unwrap_or(0);
        let cut_off = &self.scenario.cut_off;
        let others = self.instances.iter().enumerate().filter(|(n, _)| !cut_off.contains(n));
        self.outcome.losses_of_others = others.map(|(_, instance)| instance.losses).sum();
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_ms, self.number, event)));
    }

    fn now(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn is_in_span(&self, now_ms: u64) -> bool {
        self.scenario.spans_ms.iter().any(|(from, until)| (*from..*until).contains(&now_ms))
    }

    fn cut(&self, instance: usize, now_ms: u64) -> Option<Cut> {
        let is_cut = self.scenario.cut_off.contains(&instance) && self.is_in_span(now_ms);
        is_cut.then_some(self.scenario.cut)
    }

    fn is_failed(&self, server: usize, now_ms: u64) -> bool {
        server < self.scenario.failed_servers && self.is_in_span(now_ms)
    }

    /// Whether an attempt over own connections gets a response; `None` if it hangs.
    fn try_direct(&mut self, instance: usize, server: usize, now_ms: u64) -> Option<bool> {
        let needs_new = self.random.random_ratio(1, 4);
        match self.cut(instance, now_ms) {
            Some(Cut::Hang) => None,
            Some(Cut::Reset) => Some(false),
            Some(cut) if cut.is_of_new_connections() && needs_new => Some(false),
            _ => Some(!self.is_failed(server, now_ms)),
        }
    }

    /// The server of an attempt; attempts of one request go to different ones.
    fn server_of(&self, instance: usize, sent_ms: u64, number: u32) -> usize {
        let mut of_request = StdRng::seed_from_u64(sent_ms << 16 | instance as u64);
        let mut servers: Vec<usize> = (0..self.scenario.servers).collect();
        servers.shuffle(&mut of_request);
        servers[number as usize % servers.len()]
    }

    fn draw_server(&mut self) -> usize {
        self.random.random_range(0..self.scenario.servers)
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Request { instance } => {
                let pause = self.random.random_range(60..140);
                self.at(now_ms + pause, Event::Request { instance });
                self.at(now_ms, Event::Attempt { instance, sent_ms: now_ms, number: 0 });
            }
            Event::Attempt { instance, sent_ms, number } => {
                self.attempt(instance, sent_ms, number, now_ms);
            }
            Event::Overdue { instance, server, since_ms } => {
                self.fail(instance, server, Failure::Overdue, since_ms, now_ms);
            }
            Event::Ended { instance, is_direct } => {
                if is_direct {
                    self.instances[instance].reach.record_ended();
                    self.succeed(instance, now_ms);
                }
            }
            Event::Heartbeat { instance } => self.heartbeat(instance, now_ms),
            Event::Check { instance } => self.check(instance, now_ms),
            Event::CheckEnds { instance, server, since_ms } => {
                let failure = self.scenario.cut.failure_of_check();
                self.fail(instance, server, failure, since_ms, now_ms);
            }
            Event::Gossip { from, to } => self.gossip(from, to, now_ms),
        }
    }

    fn attempt(&mut self, instance: usize, sent_ms: u64, number: u32, now_ms: u64) {
        if number >= MAX_ATTEMPTS {
            return self.record(instance, sent_ms, false, true);
        }
        let now = self.now(now_ms);
        let draw = self.random.random();
        let path = self.instances[instance].reach.path("service", draw, now);
        let needs_stand_in = match path {
            Path::Direct => false,
            Path::OpenConnectionsOnly => self.random.random_ratio(1, 4),
            Path::StandIn { .. } => true,
        };
        let server = self.server_of(instance, sent_ms, number);
        if needs_stand_in && self.scenario.defect != Defect::NoStandIns {
            match self.draw_stand_in(instance, now_ms) {
                Some(other) => {
                    return self.pass_on(instance, other, server, (sent_ms, number), now_ms);
                }
                None if path == (Path::StandIn { is_confirmed: true }) => {
                    return self.record(instance, sent_ms, false, false);
                }
                None => {}
            }
        }
        match self.try_direct(instance, server, now_ms) {
            Some(true) => {
                self.instances[instance].reach.record_sent(now);
                let ended = Event::Ended { instance, is_direct: true };
                self.at(now_ms + RESPONSE_MS, ended);
                self.record(instance, sent_ms, true, true);
            }
            Some(false) => {
                let failures: &[Failure] = match self.scenario.cut {
                    Cut::NewRefused => &[Failure::Broken, Failure::Connecting],
                    Cut::NewBroken => &[Failure::NewBroken],
                    Cut::Hang | Cut::Reset => &[Failure::Broken],
                };
                for failure in failures {
                    self.fail(instance, server, *failure, now_ms, now_ms);
                }
                self.at(now_ms + 1, Event::Attempt { instance, sent_ms, number: number + 1 });
            }
            None => {
                let since_ms = now_ms;
                self.at(now_ms + OVERDUE_MS, Event::Overdue { instance, server, since_ms });
                self.record(instance, sent_ms, false, true);
            }
        }
    }

    fn draw_stand_in(&mut self, instance: usize, now_ms: u64) -> Option<usize> {
        let now = self.now(now_ms);
        let Instance { own, peers, avoided_until_ms, .. } = &self.instances[instance];
        let is_allowed = |start: &Incarnation| {
            avoided_until_ms.get(&start.id).is_none_or(|until| *until <= now_ms)
        };
        let found = peers.stand_ins(own, SERVICE_KEY, now, is_allowed);
        let names: Vec<Arc<str>> = found.into_iter().map(|(start, _)| start.id).collect();
        let drawn = names.choose(&mut self.random)?;
        self.instances.iter().position(|other| other.own.name == *drawn)
    }

    fn pass_on(
        &mut self,
        instance: usize,
        other: usize,
        server: usize,
        (sent_ms, number): (u64, u32),
        now_ms: u64,
    ) {
        if !self.scenario.cut_off.contains(&instance) {
            self.outcome.passed_on_by_others += 1;
        }
        let next = Event::Attempt { instance, sent_ms, number: number + 1 };
        if self.instances[other].reach.is_cut_off("service") {
            self.avoid(instance, other, now_ms);
            return self.at(now_ms + 2, next);
        }
        match self.try_direct(other, server, now_ms) {
            Some(true) => {
                self.at(now_ms + RESPONSE_MS, Event::Ended { instance: other, is_direct: true });
                let now = self.now(now_ms);
                self.instances[other].reach.record_sent(now);
                self.record(instance, sent_ms, true, false);
            }
            Some(false) => {
                self.fail(other, server, Failure::Broken, now_ms, now_ms);
                if self.is_failed(server, now_ms) {
                    let now = self.now(now_ms);
                    let id = incarnation(server);
                    let service = "service".into();
                    let reach = &mut self.instances[instance].reach;
                    let changes = reach.record_failed_server(&service, &id, now);
                    self.publish(instance, &changes, now_ms);
                }
                self.at(now_ms + 2, next);
            }
            None => {
                let overdue = Event::Overdue { instance: other, server, since_ms: now_ms };
                self.at(now_ms + OVERDUE_MS, overdue);
                self.avoid(instance, other, now_ms + OVERDUE_MS);
                self.record(instance, sent_ms, false, false);
            }
        }
    }

    fn avoid(&mut self, instance: usize, other: usize, now_ms: u64) {
        let name = self.instances[other].own.name.clone();
        self.instances[instance].avoided_until_ms.insert(name, now_ms + BUSY_MS);
    }

    fn fail(
        &mut self,
        instance: usize,
        server: usize,
        failure: Failure,
        since_ms: u64,
        now_ms: u64,
    ) {
        let (since, now) = (self.now(since_ms), self.now(now_ms));
        let servers = self.scenario.servers;
        let elsewhere = (0..servers).filter(|server| is_elsewhere(*server)).count();
        let counts = ServerCounts {
            of_service: servers,
            all: servers,
            elsewhere_of_service: elsewhere,
            elsewhere,
        };
        let reach = &mut self.instances[instance].reach;
        let (service, id) = ("service".into(), incarnation(server));
        let failed =
            FailedServer { service: &service, id: &id, is_elsewhere: is_elsewhere(server) };
        let changes = reach.record_failure(failed, failure, since, counts, now);
        self.publish(instance, &changes, now_ms);
        if !self.instances[instance].is_checking && self.scenario.defect != Defect::NoChecks {
            self.instances[instance].is_checking = true;
            self.at(now_ms + FIRST_CHECK_MS, Event::Check { instance });
        }
    }

    fn succeed(&mut self, instance: usize, now_ms: u64) {
        let now = self.now(now_ms);
        let reach = &mut self.instances[instance].reach;
        let changes = reach.record_response(&"service".into(), now);
        self.publish(instance, &changes, now_ms);
    }

    fn publish(&mut self, instance: usize, changes: &[Change], now_ms: u64) {
        if changes.is_empty() {
            return;
        }
        let now = self.now(now_ms);
        let state = &mut self.instances[instance];
        let is_lost = state.reach.is_cut_off_from_all();
        state.losses += u32::from(changes.iter().any(|change| change.is_lost));
        let unreached = if is_lost { Unreached::All } else { Unreached::None };
        let id = start_id(&state.own);
        if state.peers.reach.set_own(id, unreached, now) {
            self.send_reports(instance, FANOUT, now_ms);
        }
    }

    fn send_reports(&mut self, from: usize, count: usize, now_ms: u64) {
        let others = (0..self.instances.len()).filter(|other| *other != from);
        for to in others.choose_multiple(&mut self.random, count) {
            let delay = self.random.random_range(1..60);
            self.at(now_ms + delay, Event::Gossip { from, to });
        }
    }

    fn heartbeat(&mut self, instance: usize, now_ms: u64) {
        let now = self.now(now_ms);
        self.at(now_ms + HEARTBEAT_MS, Event::Heartbeat { instance });
        let state = &mut self.instances[instance];
        let id = start_id(&state.own);
        state.peers.reach.refresh(id, now);
        if let Some(is_recent) = state.peers.reach.has_recent_changes(now) {
            let count = if is_recent { FANOUT } else { STEADY_FANOUT };
            self.send_reports(instance, count, now_ms);
        }
    }

    fn gossip(&mut self, from: usize, to: usize, now_ms: u64) {
        let now = self.now(now_ms);
        let Some(message) = self.instances[from].peers.reach.encode(&mut self.random) else {
            return;
        };
        let state = &mut self.instances[to];
        let id = start_id(&state.own);
        let changed = state.peers.reach.merge(id, &message, now).expect("the message is valid");
        if changed > 0 {
            self.send_reports(to, FANOUT, now_ms);
        }
    }

    fn check(&mut self, instance: usize, now_ms: u64) {
        if self.instances[instance].reach.unclear_scopes().is_empty() {
            self.instances[instance].is_checking = false;
            return;
        }
        self.at(now_ms + CHECK_INTERVAL_MS, Event::Check { instance });
        let server = self.draw_server();
        let since_ms = now_ms;
        let failed = Event::CheckEnds { instance, server, since_ms };
        match self.cut(instance, now_ms) {
            Some(Cut::Hang) => self.at(now_ms + DIAL_TIMEOUT_MS, failed),
            Some(_) => self.at(now_ms + 2, failed),
            None if self.is_failed(server, now_ms) => self.at(now_ms + 2, failed),
            None => {
                let now = self.now(now_ms);
                let reach = &mut self.instances[instance].reach;
                let changes = reach.record_first_response(&"service".into(), now);
                self.publish(instance, &changes, now_ms);
                self.succeed(instance, now_ms);
            }
        }
    }

    fn record(&mut self, instance: usize, sent_ms: u64, has_succeeded: bool, is_direct: bool) {
        let is_other = !self.scenario.cut_off.contains(&instance);
        let is_judged = |(from, until): &(u64, u64)| (from + CONTACT_MS..*until).contains(&sent_ms);
        let is_after = sent_ms >= self.end_ms() - 2_000;
        let counts = match () {
            () if self.scenario.spans_ms.iter().any(is_judged) => &mut self.outcome.during,
            () if is_after => &mut self.outcome.after,
            () => return,
        };
        let count = &mut counts[usize::from(is_other)];
        count.sent += 1;
        count.succeeded += u32::from(has_succeeded);
        if is_direct && !is_other {
            let direct = match is_after {
                true => &mut self.outcome.direct_after,
                false => &mut self.outcome.direct_during,
            };
            *direct += 1;
        }
    }
}

/// Returns whether a server is in another region than the instances.
fn is_elsewhere(server: usize) -> bool {
    server % 2 == 1
}

fn incarnation(server: usize) -> Incarnation {
    Incarnation { id: name(&format!("server-{server}")), started_ms: 0 }
}
