//! Requests of callers, and the responses of both versions' backend servers.

use super::setup::{BASELINE_FAILURES, Defect, Version};
use super::world::{SERVICE, STEPS_PER_S, World};
use rand::Rng;
use std::time::Duration;
use steering::placement::Ending;
use steering::rollout::{Observation, OrderId};

/// Number of bad responses after which a version has to be rolled back in time.
const DETECTABLE_BAD: u64 = 50;

/// Warm latency in milliseconds.
const WARM_MS: f64 = 400.0;

const ROUTES: [&str; 2] = ["lookup", "booking"];

/// A request in flight to a backend server.
pub(super) struct RequestInFlight {
    pub(super) number: usize,
    pub(super) start_count: u64,
    pub(super) counted: Option<OrderId>,
    pub(super) is_target: bool,
    pub(super) route: &'static str,
    pub(super) observed: Observation,
}

impl World {
    /// Sends requests of callers to random instances.
    pub(super) fn send_requests(&mut self, elapsed: Duration) {
        let per_step = self.setup.per_s / STEPS_PER_S as f64;
        let whole = per_step.floor() as u64 + u64::from(self.random.random_bool(per_step.fract()));
        let now = self.now;
        let rules: Vec<_> =
            self.nodes.iter().map(|node| node.table.rules(now).remove(SERVICE)).collect();
        for _ in 0..whole {
            let number = self.random.random_range(0..self.nodes.len());
            if !self.nodes[number].is_running(now) {
                continue;
            }
            // Without an order, an instance knows no backend server of the version either, unless
            // it forgot the order.
            let is_target = match &rules[number] {
                Some(rule) => rule.order(self.random.random())[0],
                None => {
                    self.nodes[number].start_count > 1
                        && self.setup.defect == Defect::ForgetsOrder
                        && self.random.random()
                }
            };
            self.send_request(number, is_target, elapsed);
        }
    }

    pub(super) fn send_request(&mut self, number: usize, is_target: bool, elapsed: Duration) {
        let now = self.now;
        let until_deadline = elapsed < self.setup.duration;
        self.outcome.requests += u64::from(until_deadline);
        let route = ROUTES[usize::from(self.random.random_bool(0.3))];
        let observation = self.respond(is_target, route);
        let node = &mut self.nodes[number];
        let counted = node.table.record_request(SERVICE, is_target);
        let is_connected = node.is_connected(now);
        let took = observation.elapsed;
        let start_count = node.start_count;
        if is_target {
            self.run_by_target += 1;
            self.outcome.exposed_by_all += u64::from(until_deadline);
            self.outcome.uninformed += u64::from(start_count > 1 && !node.is_informed);
            let has_started_after = self.rolled_back_at.is_some_and(|at| node.down_until > at);
            self.outcome.after_rollback += u64::from(has_started_after);
            if is_connected {
                self.outcome.exposed += u64::from(until_deadline);
                if let Some(at) = self.bad_at {
                    self.outcome.overrun = self.outcome.overrun.max(now.since(at));
                }
            }
        }
        let at = (now + took).as_ns();
        let request = RequestInFlight {
            number,
            start_count,
            counted,
            is_target,
            route,
            observed: observation,
        };
        self.endings.entry(at).or_default().push(request);
    }

    pub(super) fn respond(&mut self, is_target: bool, route: &str) -> Observation {
        let baseline = if is_target { BASELINE_FAILURES } else { self.setup.others_failure_ratio };
        let (fails, factor) = match (is_target, self.setup.version) {
            (true, Version::Fails(ratio)) => (ratio, 1.0),
            (true, Version::FailsAfter(after, ratio)) if self.has_run(after) => (ratio, 1.0),
            (true, Version::FailsOnOneRoute(ratio)) if route == ROUTES[1] => (ratio, 1.0),
            (true, Version::Slow(factor)) => (baseline, factor),
            _ => (baseline, 1.0),
        };
        let failed = self.random.random_bool(fails.max(baseline));
        let was_object_warm = self.random.random_bool(0.5);
        let cold = if was_object_warm { 1.0 } else { 2.0 };
        let took_ms = WARM_MS * factor * cold * self.random.random_range(0.8..1.4);
        let elapsed = Duration::from_secs_f64(took_ms / 1_000.0);
        let ending = if failed {
            Ending::Erred
        } else {
            Ending::Answered { after: elapsed, was_object_warm }
        };
        let was_cold = false;
        let warm_ms = (self.setup.defect != Defect::IgnoresLatency).then_some(WARM_MS);
        Observation { ending, elapsed, is_passed_on: false, was_object_warm, was_cold, warm_ms }
    }

    /// Returns whether the version has run this fraction of all requests until the deadline.
    pub(super) fn has_run(&self, fraction: f64) -> bool {
        let all = self.setup.per_s * self.setup.duration.as_secs_f64();
        self.run_by_target as f64 >= fraction * all
    }

    pub(super) fn end_requests(&mut self) {
        let now = self.now;
        while let Some(entry) =
            self.endings.first_entry().filter(|entry| *entry.key() <= now.as_ns())
        {
            for RequestInFlight { number, start_count, counted, is_target, route, observed } in
                entry.remove()
            {
                let is_slow = observed.elapsed.as_secs_f64() * 1_000.0 > 2.5 * WARM_MS * 2.0;
                let is_bad = is_target && (observed.ending == Ending::Erred || is_slow);
                if is_bad && self.setup.version != Version::Sound {
                    self.outcome.bad += 1;
                    if self.outcome.bad == DETECTABLE_BAD {
                        self.bad_at = Some(now);
                    }
                }
                let node = &mut self.nodes[number];
                // Requests of a crashed instance end with it.
                if let Some(counted) =
                    counted.filter(|_| node.start_count == start_count && node.is_running(now))
                {
                    node.table.record_ending(counted, is_target, route, &observed);
                }
            }
        }
    }
}
