//! The retries of all instances, counted where they arrive, while the time on the way changes.

use std::time::Duration;
use steering::Time;
use steering::placement::{RetryBudget, RetryTerms};

const INSTANCES: usize = 12;
const RATIO: f64 = 0.2;

/// Length of a step, and steps of the window over which retries are counted.
const STEP: Duration = Duration::from_millis(100);
const WINDOW: usize = 100;

/// Steps of a run, and the one in which what is sent begins to be held up.
const STEPS: usize = 500;
const STALLED_AT: usize = 150;

/// Step from which on requests fail.
const FAILING_AT: usize = 50;

/// Requests per second over the fleet, and the fixed allowance, of services of several sizes.
const SERVICES: [(f64, f64); 4] = [(396.0, 64.0), (105.0, 64.0), (216.0, 62.0), (1_134.0, 174.0)];

/// A retry on its way, with steps.
struct UnderWay {
    instance: usize,
    sent_at: usize,
    arrives_at: usize,
}

/// A run of all instances at one service, each request of which fails once.
struct Run {
    per_s: f64,
    extra: f64,
    /// Time for which what is sent is held up; it arrives at the end.
    stall: Duration,
    /// Time after which an instance gives a retry up, which arrives all the same.
    patience: Duration,
    /// Longest time for which it may be on the way then.
    max_lateness: Duration,
}

impl Run {
    /// Requests and arrivals of retries, by step.
    fn counts(&self) -> (Vec<f64>, Vec<f64>) {
        let terms = RetryTerms { ratio: RATIO, extra: self.extra, ..RetryTerms::default() };
        let stall = STALLED_AT..STALLED_AT + steps(self.stall);
        let mut budgets = [RetryBudget::new(terms); INSTANCES];
        let mut due = [0.0; INSTANCES];
        let (mut sent, mut arrived) = (Vec::new(), vec![0.0; STEPS]);
        let mut under_way: Vec<UnderWay> = Vec::new();
        for step in 0..STEPS {
            let now = Time::from_ms(60_000) + STEP * step as u32;
            for retry in under_way.extract_if(.., |retry| self.ends_at(retry) <= step) {
                let latest = if retry.arrives_at <= step { now } else { now + self.max_lateness };
                budgets[retry.instance].end(latest, now);
            }
            let mut requests = 0.0;
            for instance in 0..INSTANCES {
                due[instance] += self.per_s / INSTANCES as f64 * STEP.as_secs_f64();
                while due[instance] >= 1.0 {
                    due[instance] -= 1.0;
                    requests += 1.0;
                    budgets[instance].earn(Some(INSTANCES), now);
                    if step >= FAILING_AT && budgets[instance].take(now) {
                        let arrives_at = if stall.contains(&step) { stall.end } else { step };
                        arrived[arrives_at] += 1.0;
                        under_way.push(UnderWay { instance, sent_at: step, arrives_at });
                    }
                }
            }
            sent.push(requests);
        }
        (sent, arrived)
    }

    /// Step at which the instance no longer waits for a retry, as it has arrived or is given up.
    fn ends_at(&self, retry: &UnderWay) -> usize {
        (retry.arrives_at + 1).min(retry.sent_at + steps(self.patience))
    }

    /// Asserts that the arrivals of each window are within the budget.
    fn check(&self) {
        let (sent, arrived) = self.counts();
        let sum = |counts: &[f64], end: usize| counts[end - WINDOW..end].iter().sum::<f64>();
        for end in 2 * WINDOW..=STEPS {
            let requests = [end, end - WINDOW / 2, end - WINDOW].map(|end| sum(&sent, end));
            let allowed = RATIO * requests.into_iter().fold(0.0, f64::max) + self.extra;
            let retries = sum(&arrived, end);
            assert!(
                retries <= allowed,
                "{} per s, stall of {:?}: {retries} of {allowed}",
                self.per_s,
                self.stall
            );
        }
        let total = |counts: &[f64]| counts[STEPS - WINDOW..].iter().sum::<f64>();
        assert!(total(&arrived) >= 0.17 * total(&sent), "retries go on after the stall");
    }
}

fn steps(time: Duration) -> usize {
    (time.as_millis() / STEP.as_millis()) as usize
}

fn check(stall_ms: u64, patience_ms: u64) {
    for (per_s, extra) in SERVICES {
        let run = Run {
            per_s,
            extra,
            stall: Duration::from_millis(stall_ms),
            patience: Duration::from_millis(patience_ms),
            max_lateness: Duration::from_secs(3),
        };
        run.check();
    }
}

#[test]
fn retries_that_are_not_held_up_stay_within_the_budget() {
    check(0, 4_000);
}

// Guards against retries that are sent during a stall and arrive at its end, beside those of a whole window.
#[test]
fn retries_that_are_held_up_for_seconds_stay_within_the_budget() {
    for stall_ms in [500, 1_000, 2_000, 3_000, 4_000] {
        check(stall_ms, 5_000);
    }
}

// Guards against retries that are given up and arrive all the same, when their path works again.
#[test]
fn retries_that_are_given_up_before_they_arrive_stay_within_the_budget() {
    for stall_ms in [1_000, 2_000, 3_000] {
        check(stall_ms, 500);
    }
}

// Guards against retries that a server which stands still reads long after their connections were closed.
#[test]
fn retries_that_arrive_after_their_connections_are_closed_stay_within_the_budget() {
    for stall_ms in [4_000, 6_000, 8_000, 10_000] {
        for (per_s, extra) in SERVICES {
            let run = Run {
                per_s,
                extra,
                stall: Duration::from_millis(stall_ms),
                patience: Duration::from_millis(500),
                max_lateness: RetryTerms::default().max_lateness(),
            };
            run.check();
        }
    }
}
