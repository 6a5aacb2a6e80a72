//! The retries of all instances together, while some of them don't hear each other, die or start.

mod placement_common;

use placement_common::peer;
use std::time::Instant;
use steering::Time;
use steering::placement::peers::{FORGOTTEN_AFTER, HEARTBEAT_INTERVAL, LOST_AFTER, Startup};
use steering::placement::{PeerState, Peers, RetryBudget, RetryTerms};

const RATIO: f64 = 0.2;
const EXTRA: f64 = 64.0;
const INSTANCES: usize = 12;

/// Steps of the length of a heartbeat interval in the window over which retries are counted.
const WINDOW: usize = 13;

/// Steps in which each instance saves retries.
const QUIET: usize = 40;

/// Steps in which each request fails once.
const TROUBLE: usize = 50;

/// One instance: every two share an availability zone, every four a region.
struct Instance {
    peers: Peers,
    budget: RetryBudget,
    /// Step of its start, and other instances that it found registered.
    start: (usize, Option<usize>),
    state: PeerState,
    is_alive: bool,
}

impl Instance {
    fn start(step: usize, registered_others: Option<usize>) -> Self {
        Self {
            peers: Peers::default(),
            budget: RetryBudget::new(RetryTerms {
                ratio: RATIO,
                extra: EXTRA,
                ..RetryTerms::default()
            }),
            start: (step, registered_others),
            state: PeerState::Serving,
            is_alive: true,
        }
    }

    /// Number of instances that share the budget, as far as it knows.
    fn fleet_size(&self, step: usize) -> Option<usize> {
        let (started, registered_others) = self.start;
        let uptime = HEARTBEAT_INTERVAL * (step - started) as u32;
        let startup = Startup { registered_others, has_waited: uptime >= LOST_AFTER };
        self.peers.fleet_size((uptime < FORGOTTEN_AFTER).then_some(&startup))
    }
}

/// A run of all instances.
struct Fleet {
    instances: Vec<Instance>,
    started: Instant,
    /// Requests and retries of each step.
    counts: Vec<(f64, f64)>,
}

impl Fleet {
    /// Starts all instances at once, for the first time.
    fn start() -> Self {
        let instances = (0..INSTANCES).map(|_| Instance::start(0, Some(0))).collect();
        Self { instances, started: Instant::now(), counts: Vec::new() }
    }

    /// One heartbeat interval: each live instance hears those that `hears` says, then gets `requests`, of
    /// which each needs a retry if `fail`.
    fn step(&mut self, requests: usize, fail: bool, hears: impl Fn(usize, usize) -> bool) {
        let step = self.counts.len();
        let now = self.started + HEARTBEAT_INTERVAL * step as u32;
        let time = Time::default() + HEARTBEAT_INTERVAL * step as u32;
        let senders: Vec<_> =
            self.instances.iter().map(|other| other.is_alive.then_some(other.state)).collect();
        let mut counts = (0.0, 0.0);
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if !instance.is_alive {
                continue;
            }
            for other in (0..INSTANCES).filter(|other| *other != number) {
                if let Some(state) = senders[other].filter(|_| hears(number, other)) {
                    let mut heard = peer(&format!("instance-{other}"), "north-a");
                    heard.heartbeat = step as u64 + 1;
                    heard.state = state;
                    instance.peers.record(heard, now);
                }
            }
            instance.peers.prune(now);
            let size = instance.fleet_size(step);
            for _ in 0..requests {
                instance.budget.earn(size, time);
                counts.0 += 1.0;
                if fail && instance.budget.take(time) {
                    instance.budget.end(time, time);
                    counts.1 += 1.0;
                }
            }
        }
        self.counts.push(counts);
    }

    /// Lets all instances hear each other and save retries.
    fn rest(&mut self) {
        (0..QUIET).for_each(|_| self.step(20, false, |_, _| true));
    }

    /// Asserts that the retries of each window are within the budget of the requests of that window.
    fn check(&self) {
        let sum = |window: &[(f64, f64)]| {
            window.iter().fold((0.0, 0.0), |sum, step| (sum.0 + step.0, sum.1 + step.1))
        };
        for (step, (requests, retries)) in self.counts.windows(WINDOW).map(sum).enumerate() {
            let allowed = RATIO * requests + EXTRA;
            assert!(retries <= allowed, "step {step}: {retries} of {allowed} retries");
        }
    }
}

/// Runs a fleet of which instances hear only those of the same group of `group`, with many requests, few
/// or hardly any, after it had time to notice that.
fn check_cut(group: usize) {
    for (requests, lost_for) in [(1, 0), (1, 10), (5, 10), (20, 10), (20, 30)] {
        let mut fleet = Fleet::start();
        fleet.rest();
        let hears = |number: usize, other: usize| number / group == other / group;
        (0..lost_for).for_each(|_| fleet.step(20, false, hears));
        (0..TROUBLE - lost_for).for_each(|_| fleet.step(requests, true, hears));
        fleet.check();
    }
}

#[test]
fn retries_of_instances_that_hear_all_stay_within_the_budget() {
    check_cut(INSTANCES);
}

// Guards against regions that don't hear each other and spend the whole budget each.
#[test]
fn retries_of_regions_that_do_not_hear_each_other_stay_within_the_budget() {
    check_cut(4);
}

// Guards against availability zones that don't hear each other and spend the whole budget each.
#[test]
fn retries_of_zones_that_do_not_hear_each_other_stay_within_the_budget() {
    check_cut(2);
}

// Guards against instances that hear nobody and spend the whole budget each.
#[test]
fn retries_of_instances_that_hear_nobody_stay_within_the_budget() {
    check_cut(1);
}

// Guards against parts of the fleet that have been apart for over a minute and spend the whole budget each.
#[test]
fn retries_of_parts_that_forget_each_other_stay_within_the_budget() {
    for group in [1, 2, 4, 6] {
        for requests in [1, 5, 20] {
            let mut fleet = Fleet::start();
            fleet.rest();
            let hears = |number: usize, other: usize| number / group == other / group;
            (0..2 * QUIET + TROUBLE).for_each(|_| fleet.step(20, false, hears));
            (0..TROUBLE).for_each(|_| fleet.step(requests, true, hears));
            fleet.check();
        }
    }
}

// Guards against the share of instances that have stopped as planned, which nobody uses any more.
#[test]
fn instances_that_have_stopped_for_over_a_minute_no_longer_share_the_budget() {
    let mut fleet = Fleet::start();
    fleet.rest();
    fleet.instances[0].state = PeerState::Leaving;
    fleet.step(20, false, |_, _| true);
    fleet.instances[0].is_alive = false;
    (0..2 * QUIET + TROUBLE).for_each(|_| fleet.step(20, false, |_, _| true));
    let step = fleet.counts.len();
    assert_eq!(fleet.instances[1].fleet_size(step), Some(INSTANCES - 1));
}

// Guards against instances that spend the share of others that died, whose retries still count.
#[test]
fn retries_after_most_instances_died_at_once_stay_within_the_budget() {
    let mut fleet = Fleet::start();
    fleet.rest();
    (0..3).for_each(|_| fleet.step(5, true, |_, _| true));
    fleet.instances.iter_mut().skip(2).for_each(|instance| instance.is_alive = false);
    (0..10).for_each(|_| fleet.step(20, false, |_, _| true));
    (0..TROUBLE).for_each(|_| fleet.step(2, true, |_, _| true));
    fleet.check();
}

// Guards against processes that are killed and started again in series, each with a new budget.
#[test]
fn retries_of_instances_that_restart_in_series_stay_within_the_budget() {
    let mut fleet = Fleet::start();
    fleet.rest();
    for step in 0..TROUBLE {
        let number = step % INSTANCES;
        let now = fleet.counts.len();
        fleet.instances[number] = Instance::start(now, Some(INSTANCES - 1));
        fleet.step(3, true, |number, other| (number + other + step) % 3 == 0);
    }
    fleet.check();
}

// Guards against instances that have just started together, hear nobody yet and save the whole budget
// each.
#[test]
fn retries_of_instances_that_start_at_once_stay_within_the_budget() {
    for registered_others in [None, Some(INSTANCES - 1)] {
        let mut fleet = Fleet::start();
        for number in 0..INSTANCES {
            fleet.instances[number] = Instance::start(0, registered_others);
        }
        (0..3).for_each(|_| fleet.step(100, false, |_, _| false));
        (0..TROUBLE).for_each(|_| fleet.step(2, true, |_, _| true));
        fleet.check();
    }
}
