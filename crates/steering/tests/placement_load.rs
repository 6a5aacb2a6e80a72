//! What callers see when objects have to move: a service under load loses half of its backend servers.
//!
//! The pattern is an availability zone that is emptied while callers go on asking.  Each object that
//! lived there is cold once where it goes; whatever else makes objects cold costs slots just when they
//! are short.  A backend server of this model keeps its last objects warm, which a caller can't see.

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
use steering::placement::{Ask, Ending, Roster};

/// Slots of a backend server, and requests that may wait there.
const SLOTS: usize = 5;
const QUEUE: usize = 15;

/// Work of a request whose object is warm and cold, in milliseconds: a cold one takes 3.3 times as
/// long on the users' deployments.
const WORK_MS: [u64; 2] = [108, 360];

/// Objects that a backend server keeps warm, and objects that callers ask for: four times as many
/// places as objects, half of that when half of the backend servers are gone.
const KEPT: usize = 24;
const OBJECTS: u64 = 48;

/// Requests in a second: with all objects warm, half of the slots that are left are busy.
const ASKED_PER_S: u64 = 92;

/// Time in which an answer is worth its full credit, in milliseconds.
const OBJECTIVE_MS: u64 = 250;

/// Time between two heartbeats, with which shares and replicas follow.
const STEP_MS: u64 = 800;

/// When the zone is emptied and when the model ends, in milliseconds.
const EMPTIED_MS: u64 = 10_000;
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
    asked_ms: u64,
    known_warm: bool,
}

/// The end of a request's work, in the order of time.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct End {
    at_ms: u64,
    server: Arc<str>,
    work: Work,
}

impl Server {
    /// Begins to work on a request; returns the time that it takes.
    fn begin(&mut self, work: Work) -> u64 {
        self.running += 1;
        let place = self.warm.iter().position(|key| *key == work.key);
        if let Some(place) = place {
            self.warm.remove(place);
        }
        self.warm.push_back(work.key);
        if self.warm.len() > KEPT {
            self.warm.pop_front();
        }
        WORK_MS[usize::from(place.is_none())]
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

/// What became of the requests of a span of time.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    asked: usize,
    in_time: usize,
    cold: usize,
}

/// The model: an instance's choices, the backend servers, and what callers saw.
struct Model {
    roster: Roster,
    servers: BTreeMap<Arc<str>, Server>,
    ends: BinaryHeap<Reverse<End>>,
    seen: Vec<Seen>,
}

impl Model {
    fn second(&mut self, at_ms: u64) -> &mut Seen {
        &mut self.seen[usize::try_from(at_ms / 1_000).expect("seconds")]
    }

    fn begin(&mut self, id: &Arc<str>, work: Work, now_ms: u64) {
        let takes_ms = self.servers.get_mut(id).expect("it is known").begin(work);
        self.second(now_ms).cold += usize::from(takes_ms == WORK_MS[1]);
        self.ends.push(Reverse(End { at_ms: now_ms + takes_ms, server: id.clone(), work }));
    }

    fn end(&mut self, end: End, now: Instant) {
        let End { at_ms, server: id, work } = end;
        let server = self.servers.get_mut(&id).expect("it is known");
        let report = server.report();
        server.running -= 1;
        if let Some(next) = server.waiting.pop_front() {
            self.begin(&id, next, at_ms);
        }
        let after = Duration::from_millis(at_ms - work.asked_ms);
        let ending = Ending::Answered { after, known_warm: work.known_warm };
        self.roster.record_ending(&id, ending, Some(report), now);
        let in_time = at_ms - work.asked_ms <= OBJECTIVE_MS;
        self.second(work.asked_ms).in_time += usize::from(in_time);
    }

    fn send_request(&mut self, key: u64, now_ms: u64, now: Instant) {
        self.second(now_ms).asked += 1;
        let service = name(placement_common::SERVICE);
        let placement_request = Ask {
            objective_left: Duration::from_millis(OBJECTIVE_MS),
            least_patience: Duration::from_millis(OBJECTIVE_MS * 2 / 5),
            ..placement_request(&service, key, &[])
        };
        let Ok(choice) = self.roster.choose(&placement_request, now) else { return };
        let work = Work { key, asked_ms: now_ms, known_warm: choice.known_warm };
        let server = self.servers.get_mut(&choice.id).expect("it is known");
        if server.running < SLOTS {
            self.begin(&choice.id, work, now_ms);
        } else if server.waiting.len() < QUEUE {
            server.waiting.push_back(work);
        } else {
            let report = server.report();
            self.roster.record_ending(&choice.id, Ending::Shed, Some(report), now);
        }
    }
}

/// Plays the pattern; returns what became of the requests of each second.
fn play(seed: u64) -> Vec<Seen> {
    let start = Instant::now();
    let known = servers(&[("north-a", 4), ("north-b", 4)], 5);
    let mut model = Model {
        roster: roster("one", "north-a", &known, start),
        servers: known.keys().map(|id| (id.clone(), Server::default())).collect(),
        ends: BinaryHeap::new(),
        seen: vec![Seen::default(); usize::try_from(END_MS / 1_000).expect("seconds")],
    };
    let mut random = StdRng::seed_from_u64(seed);
    for now_ms in 0..END_MS {
        let now = start + Duration::from_millis(now_ms);
        if now_ms == EMPTIED_MS {
            model.roster.set_evacuations(&Evacuations::from([name("north-b")]), now);
        }
        if now_ms % STEP_MS == 0 {
            let own = with_demand(peer("one", "north-a"), ASKED_PER_S as f32, OBJECTS as u32);
            step(&mut model.roster, &own, &[], now);
        }
        while model.ends.peek().is_some_and(|Reverse(end)| end.at_ms <= now_ms) {
            let Some(Reverse(end)) = model.ends.pop() else { break };
            model.end(end, now);
        }
        if random.random_range(0..1_000) < ASKED_PER_S {
            let key = random.random_range(0..OBJECTS);
            model.send_request(key, now_ms, now);
        }
    }
    model.seen
}

/// Sums the seconds from one to another.
fn sum(seen: &[Seen], from: usize, to: usize) -> Seen {
    seen[from..to].iter().fold(Seen::default(), |sum, second| Seen {
        asked: sum.asked + second.asked,
        in_time: sum.in_time + second.in_time,
        cold: sum.cold + second.cold,
    })
}

#[test]
fn each_object_is_cold_once_while_all_backend_servers_are_there() {
    for seed in 1..=4 {
        let seen = sum(&play(seed), 0, 10);
        assert!(seen.cold <= OBJECTS as usize * 5 / 4, "seed {seed}: {seen:?}");
    }
}

#[test]
fn objects_of_an_emptied_zone_are_cold_once_and_callers_are_served_again_within_two_seconds() {
    for seed in 1..=4 {
        let seen = play(seed);
        let moved = sum(&seen, 10, 20);
        assert!(moved.cold <= OBJECTS as usize * 3 / 4, "seed {seed}: {moved:?}");
        let later = sum(&seen, 12, 19);
        assert!(later.in_time * 100 >= later.asked * 95, "seed {seed}: {later:?}");
    }
}
