//! Fraction of a region's requests that changes its region from one moment to the next.
//!
//! Guards against a shift of traffic with nothing lost: limits that backend servers state moved 0.3
//! to 0.4 of a region's requests to others within a second, where 0.15 may change their region
//! from one window of two seconds to the next.

mod model;
#[path = "../placement_common/mod.rs"]
mod placement_common;

use model::{END_MS, Event, Outcome, SERVICES, Scheduled, largest_shift, run};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Fraction of a region's requests that may change their region from one window to the next.
const MAX_SHIFT: f64 = 0.15;

fn for_a_while(event: Event) -> Vec<Scheduled> {
    vec![Scheduled { event, from_ms: 18_000, until_ms: 34_000 }]
}

/// Runs a schedule in which nothing is lost, and checks every window.
fn assert_no_shift(seed: u64, utilization: f64, schedule: Vec<Scheduled>) -> Outcome {
    let description = format!("seed {seed}, utilization {utilization}, {schedule:?}");
    let outcome = run(seed, utilization, schedule);
    let (shift, at_ms) = largest_shift(&outcome.placed, |_| false);
    assert!(shift <= MAX_SHIFT, "{shift:.3} at {at_ms} ms: {description}");
    outcome
}

// Guards against a share that follows its target at once where backend servers state limits.
#[test]
fn limits_of_some_servers_shift_no_traffic_at_once() {
    for (part, per_s) in [(0.2, 1.0), (0.4, 1.0), (0.5, 2.0), (0.5, 3.0)] {
        for utilization in [0.4, 0.5, 0.6] {
            let event = Event::Limited { service: 0, part, per_s };
            assert_no_shift(1, utilization, for_a_while(event));
        }
    }
}

// Guards against a region that goes on with servers that it has lost: its requests must leave.
#[test]
fn lost_and_cold_servers_move_traffic_within_seconds() {
    for event in [Event::Lost { service: 0, part: 0.7 }, Event::Cold { service: 0, part: 0.7 }] {
        let outcome = run(1, 0.6, for_a_while(event));
        let left = outcome.placed.iter().filter(|placed| placed.left);
        let soon = left.filter(|placed| (20_000..22_000).contains(&placed.at_ms)).count();
        assert!(soon > 100, "{soon} requests left within two seconds: {event:?}");
    }
}

// Guards against a shift where some servers ask for a backoff, or callers come.
#[test]
fn backoffs_and_bursts_shift_no_traffic_at_once() {
    for utilization in [0.4, 0.6] {
        let resting = Event::Resting { service: 0, part: 0.4 };
        assert_no_shift(1, utilization, for_a_while(resting));
        for factor in [1.3, 1.6] {
            assert_no_shift(1, utilization, for_a_while(Event::Demand { factor }));
        }
    }
}

// Guards against requests that leave at once, as no server of their region may get them.
#[test]
fn limits_of_all_servers_of_a_service_shift_no_traffic_at_once() {
    for utilization in [0.4, 0.6] {
        for service in 1..SERVICES.len() {
            for per_s in [0.0, 1.0, 6.0] {
                let event = Event::Limited { service, part: 1.0, per_s };
                assert_no_shift(1, utilization, for_a_while(event));
            }
        }
        let event = Event::Limited { service: 0, part: 1.0, per_s: 6.0 };
        assert_no_shift(1, utilization, for_a_while(event));
    }
}

// Guards against a shift of what is still served, where most of a region's requests are refused.
#[test]
fn limits_near_zero_of_the_largest_service_shift_no_traffic_at_once() {
    for (utilization, per_s) in [(0.4, 0.0), (0.4, 1.0), (0.6, 0.0), (0.6, 1.0)] {
        let event = Event::Limited { service: 0, part: 1.0, per_s };
        assert_no_shift(1, utilization, for_a_while(event));
    }
}

// Guards against requests that are refused for good where limits leave a service little capacity.
#[test]
fn requests_that_limits_keep_from_their_region_are_served_elsewhere_in_time() {
    for service in 0..SERVICES.len() {
        let event = Event::Limited { service, part: 1.0, per_s: 1.0 };
        let schedule = vec![Scheduled { event, from_ms: 12_000, until_ms: END_MS }];
        let outcome = run(1, 0.5, schedule);
        let refused = outcome.refused_ms.iter().filter(|at_ms| **at_ms >= 40_000).count();
        let placed = outcome.placed.iter().filter(|placed| placed.at_ms >= 40_000).count();
        assert!(refused * 50 < placed, "{refused} refused, {placed} placed: service {service}");
    }
}

/// Seed of a schedule in which demand rises while a service is short of slots that another one has
/// again: the share of a service that bears what stays must not follow fast.
const RISING_DEMAND_SEED: u64 = 88;

/// Schedules of events that may overlap.
fn draw_schedule(random: &mut StdRng) -> Vec<Scheduled> {
    (0..random.random_range(2..=4))
        .map(|_| {
            let service = random.random_range(0..SERVICES.len());
            let part = random.random_range(0.1..0.6);
            let event = match random.random_range(0..8) {
                0..3 => Event::Limited { service, part, per_s: draw_limit(random) },
                3 => Event::Limited {
                    service: random.random_range(1..SERVICES.len()),
                    part: 1.0,
                    per_s: draw_limit(random),
                },
                4 => Event::Resting { service, part: part.min(0.4) },
                5 => Event::Lost { service, part },
                6 => Event::Cold { service, part },
                _ => Event::Demand { factor: random.random_range(0.6..1.4) },
            };
            let from_ms = 12_000 + 20 * random.random_range(0..1_000);
            let until_ms = from_ms + 20 * random.random_range(150..700);
            Scheduled { event, from_ms, until_ms }
        })
        .collect()
}

fn draw_limit(random: &mut StdRng) -> f64 {
    [0.0, 1.0, 3.0, 6.0, 12.0][random.random_range(0..5)]
}

/// Whether backend servers were lost, turned cold, or came back shortly before a time.
fn follows_a_loss(schedule: &[Scheduled], at_ms: u64) -> bool {
    const NEAR_MS: u64 = 8_000;
    schedule
        .iter()
        .filter(|scheduled| matches!(scheduled.event, Event::Lost { .. } | Event::Cold { .. }))
        .flat_map(|scheduled| [scheduled.from_ms, scheduled.until_ms])
        .any(|edge_ms| (edge_ms..edge_ms + NEAR_MS).contains(&at_ms))
}

// Guards against any combination of limits, backoffs, demand and earlier losses that shifts traffic.
#[test]
fn drawn_schedules_shift_no_traffic_but_after_losses() {
    for seed in (0..40).chain([RISING_DEMAND_SEED]) {
        let mut random = StdRng::seed_from_u64(seed);
        let schedule = draw_schedule(&mut random);
        let utilization = random.random_range(0.3..0.6);
        let outcome = run(seed, utilization, schedule.clone());
        let (shift, at_ms) =
            largest_shift(&outcome.placed, |at_ms| follows_a_loss(&schedule, at_ms));
        assert!(
            shift <= MAX_SHIFT,
            "{shift:.3} at {at_ms} ms: seed {seed}, {utilization}, {schedule:?}"
        );
    }
}
