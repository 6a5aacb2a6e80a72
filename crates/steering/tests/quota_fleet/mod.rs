//! Simulates the limiters of a whole fleet: a network that loses, delays and partitions, instances
//! that crash, restart and are suspended, and callers of customers.
#![allow(dead_code, reason = "tests and the bench target use different parts")]

mod world;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use steering::Time;
use steering::deployment::{CustomerId, Quota};
use steering::quota::{Limiter, MemberId, QuotaTerms, Ticket};

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
