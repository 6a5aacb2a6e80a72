//! Model of one region's instances and the backend servers that they send to.
//!
//! Requests of the region's callers arrive at random instances. Each instance records and places
//! them with a roster of its own, gets the responses, and exchanges heartbeats, demand and
//! conditions with the others. What other regions send is a constant demand.

use super::placement_common::{address, name, peer, placement_request, regions};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::{
    AllowedRegions, BackendServer, BackendServers, Deployment, RequestKind, Service,
};
use steering::placement::load::LoadReport;
use steering::placement::peers::Demand;
use steering::placement::roster::demand_key;
use steering::placement::{Condition, Ending, Limit, Peer, Peers, Roster};

/// The services, with the fraction of the region's requests that each gets.
pub(crate) const SERVICES: [(&str, f64); 3] = [("dossier", 0.7), ("agenda", 0.2), ("atelier", 0.1)];

/// Slots of a backend server.
const SLOTS: u32 = 5;

/// Time that a request occupies a slot, in milliseconds.
const WORK_MS: u64 = 300;

/// Requests per second at a utilization of 1.
const CAPACITY_PER_S: f64 = 1_200.0;

/// One-way delay to other regions, in milliseconds.
const REMOTE_DELAY_MS: u64 = 35;

/// Instances of the region.
const INSTANCES: usize = 8;

const STEP_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 800;
const GOSSIP_MS: u64 = 100;

/// Duration of a run, in milliseconds.
pub(crate) const END_MS: u64 = 45_000;

/// What happens to backend servers of the region, or to its callers, for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Event {
    /// A part of a service's backend servers states a limit, in requests per second.
    Limited { service: usize, part: f64, per_s: f64 },
    /// A part of a service's backend servers rejects everything and asks for a backoff.
    Resting { service: usize, part: f64 },
    /// A part of a service's backend servers is lost.
    Lost { service: usize, part: f64 },
    /// A part of a service's backend servers is cold.
    Cold { service: usize, part: f64 },
    /// The rate of requests is multiplied.
    Demand { factor: f64 },
}

/// Something that happens from a time to another, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scheduled {
    pub(crate) event: Event,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

impl Scheduled {
    fn is_active(&self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
}

/// Where a request of the region's callers ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    /// Time at which it reached its backend server, in milliseconds.
    pub(crate) at_ms: u64,
    pub(crate) left: bool,
}

/// What became of the region's requests.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) placed: Vec<Placed>,
    /// Times of refusals, in milliseconds.
    pub(crate) refused_ms: Vec<u64>,
}

struct Instance {
    own: Peer,
    roster: Roster,
}

/// A response that is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Due {
    at_ms: u64,
    instance: usize,
    server: usize,
    is_rejection: bool,
}

struct ModelServer {
    id: Arc<str>,
    service: usize,
    is_local: bool,
    /// Order among the servers of its service and region, as a fraction.
    position: f64,
    running: u32,
}

struct Model {
    start: Instant,
    rate_per_s: f64,
    schedule: Vec<Scheduled>,
    servers: Vec<ModelServer>,
    index: HashMap<Arc<str>, usize>,
    records: BackendServers,
    instances: Vec<Instance>,
    others: Vec<Peer>,
    due: BinaryHeap<Reverse<Due>>,
    random: StdRng,
    outcome: Outcome,
}

/// Runs the schedule at a utilization of the region's slots.
pub(crate) fn run(seed: u64, utilization: f64, schedule: Vec<Scheduled>) -> Outcome {
    let mut model = Model::new(seed, utilization, schedule);
    for at_ms in (0..END_MS).step_by(STEP_MS as usize) {
        model.step(at_ms);
    }
    model.outcome
}

impl Model {
    fn new(seed: u64, utilization: f64, schedule: Vec<Scheduled>) -> Self {
        let start = Instant::now();
        let mut servers = Vec::new();
        let mut records = BackendServers::new();
        for (service, (service_name, fraction)) in SERVICES.into_iter().enumerate() {
            let slots = CAPACITY_PER_S * fraction * WORK_MS as f64 / 1_000.0;
            let count = (slots / f64::from(SLOTS)).ceil() as usize;
            for (zone, count, is_local) in [("north-a", count, true), ("south-a", 2 * count, false)]
            {
                for number in 0..count {
                    let id = name(&format!("{service_name}-{zone}-{number}"));
                    let position = (number as f64 + 0.5) / count as f64;
                    records.insert(id.clone(), record(service_name, zone));
                    servers.push(ModelServer { id, service, is_local, position, running: 0 });
                }
            }
        }
        let index = servers.iter().map(|server| server.id.clone()).zip(0..).collect();
        let instances = (0..INSTANCES)
            .map(|number| {
                let own = peer(&format!("instance-{number}"), "north-a");
                let mut roster = Roster::new(&own.name, name("north-a"), regions());
                roster.set_deployment(&deployment());
                roster.set_servers(&records, start);
                Instance { own, roster }
            })
            .collect();
        let mut other = peer("south", "south-a");
        other.demand = SERVICES
            .into_iter()
            .map(|(service, fraction)| {
                let movable_per_s = (CAPACITY_PER_S * fraction * 0.6) as f32;
                let warm_ms = Some(WORK_MS as f32);
                let keys = Some(1_000);
                let demand = Demand { movable_per_s, keys, warm_ms, ..Demand::default() };
                (demand_key(service), demand)
            })
            .collect();
        Self {
            start,
            rate_per_s: CAPACITY_PER_S * utilization,
            schedule,
            servers,
            index,
            records,
            instances,
            others: vec![other],
            due: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    fn now(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn step(&mut self, at_ms: u64) {
        self.apply_lists(at_ms);
        self.answer(at_ms);
        if at_ms.is_multiple_of(GOSSIP_MS) {
            self.gossip(at_ms);
        }
        for number in 0..self.instances.len() {
            // Heartbeats of instances are spread over the interval.
            let offset_ms = HEARTBEAT_MS / INSTANCES as u64 * number as u64;
            if (at_ms + offset_ms) / HEARTBEAT_MS != (at_ms + offset_ms + STEP_MS) / HEARTBEAT_MS {
                self.heartbeat(number, at_ms);
            }
        }
        let mut wanted = self.rate_per_s * self.demand_factor(at_ms) * STEP_MS as f64 / 1_000.0;
        // Random rounding of the last one keeps the rate.
        while self.random.random::<f64>() < wanted {
            self.request(at_ms);
            wanted -= 1.0;
        }
    }

    fn demand_factor(&self, at_ms: u64) -> f64 {
        let active = self.schedule.iter().filter(|scheduled| scheduled.is_active(at_ms));
        active
            .filter_map(|scheduled| match scheduled.event {
                Event::Demand { factor } => Some(factor),
                _ => None,
            })
            .product()
    }

    /// The events that concern a server now.
    fn events(&self, server: &ModelServer, at_ms: u64) -> impl Iterator<Item = Event> {
        let (service, is_local, position) = (server.service, server.is_local, server.position);
        let active = self.schedule.iter().filter(move |scheduled| scheduled.is_active(at_ms));
        active.map(|scheduled| scheduled.event).filter(move |event| {
            is_local
                && match *event {
                    Event::Limited { service: of, part, .. }
                    | Event::Resting { service: of, part }
                    | Event::Lost { service: of, part }
                    | Event::Cold { service: of, part } => of == service && position < part,
                    Event::Demand { .. } => false,
                }
        })
    }

    /// Applies losses and cold starts where they begin or end.
    fn apply_lists(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        let begins = |scheduled: &Scheduled| scheduled.from_ms == at_ms;
        let changes = |scheduled: &&Scheduled| {
            let is_edge = begins(scheduled) || scheduled.until_ms == at_ms;
            is_edge && matches!(scheduled.event, Event::Lost { .. } | Event::Cold { .. })
        };
        if self.schedule.iter().find(changes).is_none() {
            return;
        }
        let states: Vec<(Arc<str>, bool, bool)> = self
            .servers
            .iter()
            .map(|server| {
                let events: Vec<Event> = self.events(server, at_ms).collect();
                let lost = events.iter().any(|event| matches!(event, Event::Lost { .. }));
                let cold = events.iter().any(|event| matches!(event, Event::Cold { .. }));
                (server.id.clone(), lost, cold)
            })
            .collect();
        let mut listed = self.records.clone();
        for (id, _, _) in states.iter().filter(|(_, lost, _)| *lost) {
            listed.remove(id);
        }
        for instance in &mut self.instances {
            instance.roster.set_servers(&listed, now);
            for (id, _, cold) in states.iter().filter(|(_, lost, _)| !lost) {
                let time = if *cold { Duration::from_secs(60) } else { Duration::ZERO };
                instance.roster.record_health_check(id, time, now);
            }
        }
    }

    fn answer(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        while let Some(Reverse(due)) = self.due.peek().copied() {
            if due.at_ms > at_ms {
                break;
            }
            self.due.pop();
            let server = &self.servers[due.server];
            let conditions: Vec<Event> = self.events(server, at_ms).collect();
            let limit = conditions.iter().find_map(|event| match event {
                Event::Limited { per_s, .. } => Some(Limit::PerSecond(*per_s)),
                _ => None,
            });
            let rests = conditions.iter().any(|event| matches!(event, Event::Resting { .. }));
            let condition = Condition {
                limit: limit.unwrap_or(Limit::Unlimited),
                backoff: rests.then_some(Duration::from_secs(3)),
                ..Condition::default()
            };
            let report = LoadReport { running: server.running, waiting: 0, slots: SLOTS };
            let ending = match due.is_rejection || rests {
                true => Ending::Shed,
                false => Ending::Answered {
                    after: Duration::from_millis(WORK_MS),
                    was_object_warm: false,
                },
            };
            let id = server.id.clone();
            self.servers[due.server].running -= 1;
            let roster = &mut self.instances[due.instance].roster;
            roster.record_ending(&*id, ending, Some(report), now);
            roster.record_condition(&*id, condition, now);
        }
    }

    /// Instances with recent changes of conditions send them to the others.
    fn gossip(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        for sender in 0..self.instances.len() {
            let roster = &self.instances[sender].roster;
            if roster.has_recent_conditions(now) != Some(true) {
                continue;
            }
            let Some(message) = roster.encode_conditions(&mut self.random, now) else { continue };
            for receiver in (0..self.instances.len()).filter(|receiver| *receiver != sender) {
                self.instances[receiver].roster.merge_conditions(&message, now);
            }
        }
    }

    fn heartbeat(&mut self, number: usize, at_ms: u64) {
        let now = self.now(at_ms);
        let instance = &mut self.instances[number];
        instance.own.heartbeat += 1;
        instance.own.demand = instance.roster.demand();
        let mut peers = Peers::default();
        for (other, instance) in self.instances.iter().enumerate() {
            if other != number {
                peers.record(instance.own.clone(), now);
            }
        }
        for other in &self.others {
            peers.record(other.clone(), now);
        }
        let own = self.instances[number].own.clone();
        self.instances[number].roster.update_shares(&own, &peers, now);
    }

    fn request(&mut self, at_ms: u64) {
        let now = self.now(at_ms);
        let mut position = self.random.random::<f64>();
        let service = SERVICES.iter().position(|(_, fraction)| {
            position -= fraction;
            position < 0.0
        });
        let service = name(SERVICES[service.unwrap_or(0)].0);
        let number = self.random.random_range(0..self.instances.len());
        let key_hash = self.random.random();
        let roster = &mut self.instances[number].roster;
        let kind = RequestKind::Idempotent;
        roster.record_request(&service, kind, key_hash, &AllowedRegions::Any, now);
        let Ok(choice) = roster.choose(&placement_request(&service, key_hash, &[]), now) else {
            self.outcome.refused_ms.push(at_ms);
            return;
        };
        let index = self.index[&choice.id];
        let way_ms = if self.servers[index].is_local { 0 } else { REMOTE_DELAY_MS };
        let server = &mut self.servers[index];
        server.running += 1;
        let rests = {
            let server = &self.servers[index];
            self.events(server, at_ms).any(|event| matches!(event, Event::Resting { .. }))
        };
        let server = &self.servers[index];
        let is_rejection = rests || server.running > 2 * SLOTS;
        let queue_ms = u64::from(server.running.saturating_sub(SLOTS)) * WORK_MS / u64::from(SLOTS);
        let run_ms = if is_rejection { 1 } else { WORK_MS + queue_ms };
        self.due.push(Reverse(Due {
            at_ms: at_ms + 2 * way_ms + run_ms,
            instance: number,
            server: index,
            is_rejection,
        }));
        if !is_rejection {
            let left = !server.is_local;
            self.outcome.placed.push(Placed { at_ms: at_ms + way_ms, left });
        }
    }
}

fn record(service: &str, zone: &str) -> BackendServer {
    BackendServer {
        service: name(service),
        address: address(9000),
        availability_zone: name(zone),
        version: name("v1"),
        slots: SLOTS,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        revision: 0,
    }
}

fn deployment() -> Deployment {
    let service = || Service {
        health_path: name("/health"),
        max_connections: 100,
        cold_start: Duration::from_secs(3),
        cold_rate_per_s: 3.0,
    };
    let services: BTreeMap<_, _> =
        SERVICES.into_iter().map(|(service_name, _)| (name(service_name), service())).collect();
    Deployment { version: 1, services, ..Deployment::default() }
}

/// The largest change, from one window of two seconds to the next, of the fraction of the region's
/// requests that ran elsewhere, and the time between the two windows in milliseconds. Windows that
/// `is_exempt` holds for are left out.
pub(crate) fn largest_shift(placed: &[Placed], is_exempt: impl Fn(u64) -> bool) -> (f64, u64) {
    const WINDOW_MS: u64 = 2_000;
    const SETTLED_MS: u64 = 10_000;
    let left_fraction = |from_ms: u64| {
        let within =
            placed.iter().filter(|placed| (from_ms..from_ms + WINDOW_MS).contains(&placed.at_ms));
        let (mut all, mut left) = (0.0, 0.0);
        for placed in within {
            all += 1.0;
            left += f64::from(u8::from(placed.left));
        }
        if all > 0.0 { left / all } else { 0.0 }
    };
    let fractions: Vec<(u64, f64)> = (SETTLED_MS..END_MS - WINDOW_MS)
        .step_by(200)
        .map(|from_ms| (from_ms, left_fraction(from_ms)))
        .collect();
    let windows_apart = (WINDOW_MS / 200) as usize;
    fractions
        .iter()
        .zip(fractions.iter().skip(windows_apart))
        .filter(|((from_ms, _), _)| {
            !(*from_ms..*from_ms + 2 * WINDOW_MS).step_by(200).any(&is_exempt)
        })
        .map(|((_, before), (between_ms, after))| ((after - before).abs(), *between_ms))
        .fold((0.0, 0), |most, shift| if shift.0 > most.0 { shift } else { most })
}
