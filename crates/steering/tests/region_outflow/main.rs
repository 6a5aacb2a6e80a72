//! Fraction of a region's requests that changes its region from one moment to the next.
//!
//! Guards against a shift of traffic with nothing lost: limits that backend servers state moved 0.3
//! to 0.4 of a region's requests to others within a second, where 0.15 may change their region
//! from one window of two seconds to the next.

mod model;
#[path = "../placement_common/mod.rs"]
mod placement_common;

use model::{Event, Outcome, Scheduled, largest_shift, run};

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
