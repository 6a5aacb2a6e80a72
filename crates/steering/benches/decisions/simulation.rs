//! The simulation: callers, instances that use `steering`, and backend servers modelled as queues.

use crate::services::{Service, ZONES, capacity_per_ms, site_capacity};
use configuration::{BackendServer, Class, Site, ZoneIndex};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use steering::Time;
use steering::admission::{Admission, Arrival, EnqueueOutcome, Limits, Ticket};
use steering::retry::RetryBudget;
use steering::servers::picker::{LatencyWeighted, LeastInFlight, Picker, PowerOfTwo};
use steering::servers::{Ending, Finding, Pool, Report, Servers};

const INSTANCES: usize = 12;
pub(crate) const RUN_MS: u64 = 6_000;
/// Warm-up, which is excluded from the results.
pub(crate) const WARM_UP_MS: u64 = 1_000;
const FAULT_MS: u64 = 2_000;
/// Time by which the other zones must have taken over from a lost one.
pub(crate) const RECOVERED_MS: u64 = FAULT_MS + 3_000;
const TIMEOUT_MS: u64 = 1_000;
const RETRY_PERCENT: f64 = 10.0;
const BASELINE_ATTEMPTS: u32 = 3;
/// Time after which a caller gives up on an instance that does not answer.
const CONNECT_TIMEOUT_MS: u64 = 500;
const COLD_REQUESTS: u32 = 200;
const COLD_FACTOR: f64 = 4.0;
const SLOW_FACTOR: f64 = 5.0;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// An availability zone is lost, with its instances and backend servers.
    ZoneLost,
    /// Every backend server starts cold.
    Cold,
    /// One backend server of each site is slow.
    Slow,
    /// One backend server of each site fails every exchange after a millisecond.
    Broken,
    /// Each second another instance falsely reports every backend server as leaving.
    FalseReports,
    /// One backend server of each site is listed as leaving.
    Leaving,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Method {
    Baseline,
    Runpin { picker: u8, wait_factor: f64 },
}

#[derive(Clone, Copy)]
struct Request {
    class: Class,
    created_ms: u64,
    zone: usize,
    instance: usize,
    server: usize,
    sent_ms: u64,
    attempt: u32,
    id: u64,
}

enum Event {
    ArrivesAtInstance(Request),
    Completed(Request),
    /// An attempt of a baseline caller timed out.
    AttemptTimeout(Request),
}

struct Server {
    running: u32,
    queue: VecDeque<Request>,
    started_requests: u32,
    requests_after_leaving: u32,
}

struct Instance {
    servers: Servers,
    admission: Admission,
    retries: RetryBudget,
    waiting: HashMap<Ticket, (Request, Time)>,
    in_flight: u32,
    max_in_flight: u32,
    round_robin: usize,
}

#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) in_time: u64,
    pub(crate) in_time_after_recovery: u64,
    pub(crate) reads_ms: Vec<u64>,
    pub(crate) writes_ms: Vec<u64>,
    pub(crate) least_headroom: f64,
    pub(crate) drained_ms: u64,
    pub(crate) requests_after_leaving: u32,
}

pub(crate) struct Simulation<'a> {
    service: &'a Service,
    method: Method,
    fault: Fault,
    load: f64,
    random: SmallRng,
    now_ms: u64,
    events: Vec<Vec<Event>>,
    sites: Vec<Site>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    answered: HashSet<u64>,
    next_id: u64,
    outcome: Outcome,
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (server >> 8) as u8, server as u8], 80))
}

fn picker(kind: u8, seed: u64) -> Box<dyn Picker> {
    match kind {
        0 => Box::new(LeastInFlight::new(seed)),
        1 => Box::new(PowerOfTwo::new(seed)),
        _ => Box::new(LatencyWeighted::new(seed)),
    }
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        service: &'a Service,
        method: Method,
        fault: Fault,
        load: f64,
        seed: u64,
    ) -> Self {
        let per_site = service.servers / ZONES;
        let capacity = site_capacity(service);
        let sites = (0..ZONES)
            .map(|zone| Site {
                availability_zone: ZoneIndex::from(zone),
                backend_servers: (zone * per_site..(zone + 1) * per_site)
                    .map(|server| BackendServer { address: address(server) })
                    .collect(),
                capacity_slots: capacity,
            })
            .collect();
        let (kind, wait_factor) = match method {
            Method::Runpin { picker, wait_factor } => (picker, wait_factor),
            Method::Baseline => (0, 0.0),
        };
        let limits = Limits { queue_length: 256, queue_wait: Duration::from_millis(400) };
        let instances = (0..INSTANCES)
            .map(|number| Instance {
                servers: Servers::with_picker(picker(kind, seed ^ number as u64)),
                admission: Admission::with_wait_factor(limits, wait_factor),
                retries: RetryBudget::default(),
                waiting: HashMap::new(),
                in_flight: 0,
                max_in_flight: (capacity + number as u32 % 2) / 2,
                round_robin: number,
            })
            .collect();
        let server = |_| Server {
            running: 0,
            queue: VecDeque::new(),
            started_requests: 0,
            requests_after_leaving: 0,
        };
        Self {
            service,
            method,
            fault,
            load,
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            events: (0..RUN_MS * 4).map(|_| Vec::new()).collect(),
            sites,
            servers: (0..service.servers).map(server).collect(),
            instances,
            answered: HashSet::new(),
            next_id: 0,
            outcome: Outcome { least_headroom: 1.0, ..Outcome::default() },
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        while self.now_ms < RUN_MS * 3 {
            if self.now_ms < RUN_MS {
                self.generate_requests();
            }
            self.inject_faults();
            for event in std::mem::take(&mut self.events[self.now_ms as usize]) {
                self.handle(event);
            }
            self.remove_expired();
            self.measure();
            let is_busy = self.instances.iter().any(|instance| instance.in_flight > 0);
            if self.now_ms >= RUN_MS && !is_busy && self.outcome.drained_ms == 0 {
                self.outcome.drained_ms = self.now_ms - RUN_MS;
                break;
            }
            self.now_ms += 1;
        }
        self.outcome.requests_after_leaving =
            self.servers.iter().map(|server| server.requests_after_leaving).sum();
        self.outcome
    }

    fn now(&self) -> Time {
        Time::from_ms(self.now_ms + 1)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let due = (self.now_ms + delay_ms.max(1)) as usize;
        if let Some(events) = self.events.get_mut(due) {
            events.push(event);
        }
    }

    fn is_lost(&self, zone: usize) -> bool {
        self.fault == Fault::ZoneLost && self.now_ms >= FAULT_MS && zone == 0
    }

    fn generate_requests(&mut self) {
        let rate = self.load * capacity_per_ms(self.service) / ZONES as f64;
        for zone in 0..ZONES {
            let mut product = (-rate).exp();
            loop {
                product /= self.random.random::<f64>().max(f64::MIN_POSITIVE);
                if product >= 1.0 {
                    break;
                }
                let write = self.random.random::<f64>() < self.service.write_share;
                let class = if write { Class::Write } else { Class::Read };
                self.create_request(class, zone);
            }
        }
    }

    /// Sends a request of a caller; one whose zone is lost fails to connect first, and then uses
    /// another.
    fn create_request(&mut self, class: Class, zone: usize) {
        let mut delay_ms = self.service.client_ms;
        let mut target_zone = zone;
        if self.is_lost(zone) {
            target_zone = 1 + self.random.random_range(0..ZONES - 1);
            delay_ms += if self.now_ms < RECOVERED_MS { CONNECT_TIMEOUT_MS } else { 0 };
        }
        let instance = target_zone * 2 + self.random.random_range(0..2);
        let created_ms = self.now_ms;
        let (server, sent_ms, attempt, id) = (0, 0, 1, self.next_id);
        self.next_id += 1;
        let zone = target_zone;
        let request = Request { class, created_ms, zone, instance, server, sent_ms, attempt, id };
        self.schedule(delay_ms, Event::ArrivesAtInstance(request));
    }

    /// Passes the fault's reports to the instances.
    fn inject_faults(&mut self) {
        let per_site = self.service.servers / ZONES;
        let all: Vec<usize> = (0..self.service.servers).collect();
        for instance in &mut self.instances {
            let now = Time::from_ms(self.now_ms + 1);
            if self.fault == Fault::FalseReports && self.now_ms.is_multiple_of(1_000) {
                let report = |server: &usize| Finding { address: address(*server), leaving: true };
                instance.servers.merge_findings(now, &all.iter().map(report).collect::<Vec<_>>());
            }
            if self.fault == Fault::Leaving && self.now_ms == FAULT_MS {
                let is_first = |server: &&usize| server.is_multiple_of(per_site);
                let leaving: Vec<_> =
                    all.iter().filter(is_first).map(|server| address(*server)).collect();
                instance.servers.set_leaving(now, &leaving);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ArrivesAtInstance(request) if self.is_lost(request.zone) => {}
            Event::ArrivesAtInstance(request) => self.arrive(request),
            Event::Completed(request) => self.complete(request),
            Event::AttemptTimeout(request) => {
                let answered = self.answered.contains(&request.id);
                if !answered && request.attempt < BASELINE_ATTEMPTS {
                    self.arrive(Request { attempt: request.attempt + 1, ..request });
                }
            }
        }
    }

    fn arrive(&mut self, request: Request) {
        if self.method == Method::Baseline {
            let per_site = self.service.servers / ZONES;
            let instance = &mut self.instances[request.instance];
            instance.round_robin += 1;
            let server = request.zone * per_site + instance.round_robin % per_site;
            return self.send(Request { server, ..request });
        }
        let now = self.now();
        let instance = &mut self.instances[request.instance];
        instance.retries.earn(RETRY_PERCENT);
        if instance.admission.queue_len() == 0 && self.try_send(request) {
            return;
        }
        let deadline = Time::from_ms(request.created_ms + TIMEOUT_MS);
        let arrival = Arrival { tenant: "".into(), class: request.class, deadline };
        let instance = &mut self.instances[request.instance];
        if let EnqueueOutcome::Queued { ticket, until, displaced } =
            instance.admission.enqueue(now, &arrival)
        {
            instance.waiting.insert(ticket, (request, until));
            displaced.map(|displaced| instance.waiting.remove(&displaced));
        }
    }

    fn try_send(&mut self, request: Request) -> bool {
        let now = self.now();
        let instance = &mut self.instances[request.instance];
        if instance.in_flight >= instance.max_in_flight {
            return false;
        }
        let pool = Pool {
            servers: &self.sites[request.zone].backend_servers,
            sites: &self.sites,
            slots: self.service.slots,
            repeatable: request.class.is_repeatable(),
        };
        let Some(taken) = instance.servers.acquire(now, pool) else { return false };
        let server = (0..self.service.servers).find(|server| address(*server) == taken);
        self.send(Request { server: server.unwrap_or_default(), ..request });
        true
    }

    fn send(&mut self, request: Request) {
        let request = Request { sent_ms: self.now_ms, ..request };
        self.instances[request.instance].in_flight += 1;
        if self.method == Method::Baseline {
            self.schedule(
                TIMEOUT_MS / u64::from(BASELINE_ATTEMPTS),
                Event::AttemptTimeout(request),
            );
        }
        let per_site = self.service.servers / ZONES;
        let is_leaving = self.fault == Fault::Leaving && request.server.is_multiple_of(per_site);
        let server = &mut self.servers[request.server];
        server.requests_after_leaving += u32::from(is_leaving && self.now_ms > FAULT_MS);
        server.queue.push_back(request);
        self.start_next(request.server);
    }

    fn start_next(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if server.running >= self.service.slots {
            return;
        }
        let Some(request) = server.queue.pop_front() else { return };
        server.running += 1;
        server.started_requests += 1;
        let is_first = number.is_multiple_of(self.service.servers / ZONES);
        let is_cold = self.fault == Fault::Cold && server.started_requests < COLD_REQUESTS;
        let factor = match self.fault {
            Fault::Slow if is_first => SLOW_FACTOR,
            _ if is_cold => COLD_FACTOR,
            _ => 1.0,
        };
        let uniform: f64 = self.random.random();
        let mut service_ms = -(1.0 - uniform).ln() * self.service.mean_ms * factor;
        if self.fault == Fault::Broken && is_first {
            service_ms = 1.0;
        }
        self.schedule(service_ms.round() as u64, Event::Completed(request));
    }

    fn complete(&mut self, request: Request) {
        self.servers[request.server].running -= 1;
        self.start_next(request.server);
        let is_first = request.server.is_multiple_of(self.service.servers / ZONES);
        let has_failed = self.fault == Fault::Broken && is_first;
        let now = self.now();
        let instance = &mut self.instances[request.instance];
        instance.in_flight -= 1;
        if self.method != Method::Baseline {
            let service_time = Duration::from_millis(self.now_ms - request.sent_ms);
            let ending = if has_failed { Ending::Failed } else { Ending::Complete };
            let started = Time::from_ms(request.sent_ms + 1);
            let report = Report { started, ending, latency: Some(service_time), closing: false };
            instance.servers.finish(now, address(request.server), report);
            instance.admission.record_service_time(service_time);
            let may_retry = has_failed && request.class == Class::Read && request.attempt == 1;
            if may_retry && instance.retries.take() {
                self.try_send(Request { attempt: 2, ..request });
            }
        }
        if !has_failed && !self.is_lost(request.zone) {
            self.answer(request);
        }
        self.admit_waiting(request.instance);
    }

    fn admit_waiting(&mut self, instance: usize) {
        let now = self.now();
        while let Some(ticket) = self.instances[instance].admission.peek() {
            let Some((request, _)) = self.instances[instance].waiting.get(&ticket).copied() else {
                self.instances[instance].admission.remove(ticket);
                continue;
            };
            if !self.try_send(request) {
                return;
            }
            let instance = &mut self.instances[instance];
            instance.waiting.remove(&ticket);
            instance.admission.admit(now, ticket);
        }
    }

    fn remove_expired(&mut self) {
        let now = self.now();
        for instance in &mut self.instances {
            let admission = &mut instance.admission;
            instance.waiting.retain(|ticket, (_, until)| {
                let is_waiting = now < *until;
                if !is_waiting {
                    admission.remove(*ticket);
                }
                is_waiting
            });
        }
    }

    fn answer(&mut self, request: Request) {
        if !self.answered.insert(request.id) {
            return;
        }
        let latency_ms = self.now_ms - request.created_ms + self.service.client_ms;
        if request.created_ms < WARM_UP_MS
            || request.created_ms >= RUN_MS
            || latency_ms > TIMEOUT_MS
        {
            return;
        }
        self.outcome.in_time += 1;
        self.outcome.in_time_after_recovery +=
            u64::from((RECOVERED_MS..RUN_MS).contains(&self.now_ms));
        match request.class {
            Class::Read => self.outcome.reads_ms.push(latency_ms),
            _ => self.outcome.writes_ms.push(latency_ms),
        }
    }

    fn measure(&mut self) {
        if self.now_ms < WARM_UP_MS {
            return;
        }
        let per_site = self.service.servers / ZONES;
        for servers in self.servers.chunks(per_site) {
            let present: usize =
                servers.iter().map(|server| server.running as usize + server.queue.len()).sum();
            let headroom = 1.0 - present as f64 / (per_site as f64 * f64::from(self.service.slots));
            self.outcome.least_headroom = self.outcome.least_headroom.min(headroom);
        }
    }
}
