//! Effect of moved objects on callers: a service under load loses half of its backend servers.
//!
//! An availability zone is evacuated under traffic. Each of its objects is cold once at its new
//! place; any other cold responses cost slots just when these are short. A backend server of this
//! model has its most recent objects warm, which callers can't see.

mod placement_common;

use placement_common::{name, peer, placement_request, roster, servers, step, with_demand};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::Evacuations;
use steering::placement::load::LoadReport;
use steering::placement::{Ending, PlacementRequest, Roster};

/// Slots of a backend server, and the length of its queue.
const SLOTS: usize = 5;
const QUEUE: usize = 15;

/// Service time of a request with a warm and a cold object, in milliseconds: a cold one takes 3.3
/// times as long on existing deployments.
const WORK_MS: [u64; 2] = [108, 360];

/// Objects that a backend server has warm, and objects that callers request: there are four times
/// as many places as objects, and half of that when half of the backend servers are gone.
const CACHED_OBJECTS: usize = 24;
const OBJECTS: u64 = 48;

/// Requests per second: with all objects warm, half of the remaining slots are busy.
const REQUESTS_PER_S: u64 = 92;

/// Time within which a response gets full credit, in milliseconds.
const OBJECTIVE_MS: u64 = 250;

/// Interval between heartbeats, at which shares and replicas are updated.
const STEP_MS: u64 = 800;

/// Time at which the zone is evacuated, and end of the simulation, in milliseconds.
const EVACUATED_MS: u64 = 10_000;
const END_MS: u64 = 20_000;

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Work>,
    warm: VecDeque<u64>,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Work {
    key: u64,
    sent_ms: u64,
    was_object_warm: bool,
}

/// Completion of a request, ordered by time.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct End {
    at_ms: u64,
    server: Arc<str>,
    work: Work,
}

impl Server {
    /// Starts a request; returns its service time in milliseconds.
    fn start(&mut self, work: Work) -> u64 {
        self.running += 1;
        let position = self.warm.iter().position(|key| *key == work.key);
        if let Some(position) = position {
            self.warm.remove(position);
        }
        self.warm.push_back(work.key);
        if self.warm.len() > CACHED_OBJECTS {
            self.warm.pop_front();
        }
        WORK_MS[usize::from(position.is_none())]
    }

    fn report(&self) -> LoadReport {
        let number = |count: usize| u32::try_from(count).expect("a few requests");
        LoadReport {
            running: number(self.running),
            waiting: number(self.waiting.len()),
            slots: number(SLOTS),
        }
    }
}

/// Requests within a span of time, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    requests: usize,
    in_time: usize,
    cold: usize,
}

/// The model: a roster, the backend servers, and the outcomes.
struct Model {
    roster: Roster,
    servers: BTreeMap<Arc<str>, Server>,
    ends: BinaryHeap<Reverse<End>>,
    outcomes: Vec<Outcomes>,
}

impl Model {
    fn second(&mut self, at_ms: u64) -> &mut Outcomes {
        &mut self.outcomes[usize::try_from(at_ms / 1_000).expect("seconds")]
    }

    fn start(&mut self, id: &Arc<str>, work: Work, now_ms: u64) {
        let service_ms = self.servers.get_mut(id).expect("the server exists").start(work);
        self.second(now_ms).cold += usize::from(service_ms == WORK_MS[1]);
        self.ends.push(Reverse(End { at_ms: now_ms + service_ms, server: id.clone(), work }));
    }

    fn end(&mut self, end: End, now: Instant) {
        let End { at_ms, server: id, work } = end;
        let server = self.servers.get_mut(&id).expect("the server exists");
        let report = server.report();
        server.running -= 1;
        if let Some(next) = server.waiting.pop_front() {
            self.start(&id, next, at_ms);
        }
        let after = Duration::from_millis(at_ms - work.sent_ms);
        let ending = Ending::Answered { after, was_object_warm: work.was_object_warm };
        self.roster.record_ending(&id, ending, Some(report), now);
        let in_time = at_ms - work.sent_ms <= OBJECTIVE_MS;
        self.second(work.sent_ms).in_time += usize::from(in_time);
    }

    fn send_request(&mut self, key: u64, now_ms: u64, now: Instant) {
        self.second(now_ms).requests += 1;
        let service = name(placement_common::SERVICE);
        let placement_request = PlacementRequest {
            remaining_objective: Duration::from_millis(OBJECTIVE_MS),
            min_wait_budget: Duration::from_millis(OBJECTIVE_MS * 2 / 5),
            ..placement_request(&service, key, &[])
        };
        let Ok(choice) = self.roster.choose(&placement_request, now) else { return };
        let work = Work { key, sent_ms: now_ms, was_object_warm: choice.was_object_warm };
        let server = self.servers.get_mut(&choice.id).expect("the server exists");
        if server.running < SLOTS {
            self.start(&choice.id, work, now_ms);
        } else if server.waiting.len() < QUEUE {
            server.waiting.push_back(work);
        } else {
            let report = server.report();
            self.roster.record_ending(&choice.id, Ending::Shed, Some(report), now);
        }
    }
}

/// Runs the simulation; returns the outcomes of each second.
fn simulate(seed: u64) -> Vec<Outcomes> {
    let start = Instant::now();
    let backend_servers = servers(&[("north-a", 4), ("north-b", 4)], 5);
    let mut model = Model {
        roster: roster("one", "north-a", &backend_servers, start),
        servers: backend_servers.keys().map(|id| (id.clone(), Server::default())).collect(),
        ends: BinaryHeap::new(),
        outcomes: vec![Outcomes::default(); usize::try_from(END_MS / 1_000).expect("seconds")],
    };
    let mut random = StdRng::seed_from_u64(seed);
    for now_ms in 0..END_MS {
        let now = start + Duration::from_millis(now_ms);
        if now_ms == EVACUATED_MS {
            model.roster.set_evacuations(&Evacuations::from([name("north-b")]), now);
        }
        if now_ms % STEP_MS == 0 {
            let own = with_demand(peer("one", "north-a"), REQUESTS_PER_S as f32, OBJECTS as u32);
            step(&mut model.roster, &own, &[], now);
        }
        while model.ends.peek().is_some_and(|Reverse(end)| end.at_ms <= now_ms) {
            let Some(Reverse(end)) = model.ends.pop() else { break };
            model.end(end, now);
        }
        if random.random_range(0..1_000) < REQUESTS_PER_S {
            let key = random.random_range(0..OBJECTS);
            model.send_request(key, now_ms, now);
        }
    }
    model.outcomes
}

/// Sums the outcomes of the seconds `from..to`.
fn sum(outcomes: &[Outcomes], from: usize, to: usize) -> Outcomes {
    outcomes[from..to].iter().fold(Outcomes::default(), |sum, second| Outcomes {
        requests: sum.requests + second.requests,
        in_time: sum.in_time + second.in_time,
        cold: sum.cold + second.cold,
    })
}

#[test]
fn each_object_is_cold_once_while_all_backend_servers_are_available() {
    for seed in 1..=4 {
        let outcomes = sum(&simulate(seed), 0, 10);
        assert!(outcomes.cold <= OBJECTS as usize * 5 / 4, "seed {seed}: {outcomes:?}");
    }
}

#[test]
fn objects_of_an_evacuated_zone_are_cold_once_and_callers_recover_within_two_seconds() {
    for seed in 1..=4 {
        let outcomes = simulate(seed);
        let moved = sum(&outcomes, 10, 20);
        assert!(moved.cold <= OBJECTS as usize * 3 / 4, "seed {seed}: {moved:?}");
        let later = sum(&outcomes, 12, 19);
        assert!(later.in_time * 100 >= later.requests * 95, "seed {seed}: {later:?}");
    }
}
