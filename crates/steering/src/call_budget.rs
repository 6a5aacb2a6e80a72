//! Rate limit and circuit breaker for an instance's calls to the platform.
//!
//! A token bucket limits the rate.  Consecutive failures open the circuit: calls fail at once,
//! except for one probe at a time, with exponential backoff and full jitter between probes.  After
//! an outage the rate ramps up slowly, so that the instances together do not overload the platform
//! again.

use crate::Time;
use rand::Rng;
use std::time::Duration;

/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Longest backoff before the first probe.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest backoff before any probe.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Longest wait for a token; a call that would have to wait longer is refused.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Size of the token bucket, in seconds of the rate.
const BURST_S: f64 = 2.0;

/// Smallest size of the token bucket, in calls.
const MIN_BURST_CALLS: f64 = 4.0;

/// Time over which the rate ramps up after an outage.
const RAMP_DURATION: Duration = Duration::from_secs(30);

/// Fraction of the rate at the start of the ramp.
const INITIAL_RAMP_FRACTION: f64 = 0.1;

/// Calls per second of all instances together, below the platform's limit of 2,000 reads per
/// second.
const FLEET_CALLS_PER_S: f64 = 1_500.0;

/// Largest number of calls per second of one instance, without those of a watcher.
const MAX_CALLS_PER_S: f64 = 50.0;

/// Additional calls per second of an instance that watches the platform for its availability zone.
const WATCHER_CALLS_PER_S: f64 = 5.0;

/// Returns the calls per second that one of `instances` instances may make.
pub fn rate_per_s(instances: usize, is_watcher: bool) -> f64 {
    let share = (FLEET_CALLS_PER_S / instances.max(1) as f64).min(MAX_CALLS_PER_S);
    if is_watcher { share + WATCHER_CALLS_PER_S } else { share }
}

/// The call budget of one instance.
#[derive(Clone, Debug)]
pub struct CallBudget {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Time,
    ramp_started_at: Option<Time>,
    circuit: Circuit,
    generation: u64,
}

#[derive(Clone, Copy, Debug)]
enum Circuit {
    Closed { failures: u32 },
    Open { attempt: u32, until: Time },
    Probing { attempt: u32 },
}

/// Permission for one call, to be returned with [`CallBudget::release`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Delay before the call.
    pub wait: Duration,
    /// Whether the call is the probe of an open circuit.
    pub is_probe: bool,
    generation: u64,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The rate limit is exceeded.
    RateLimited,
    /// The circuit is open, and no probe is due.
    CircuitOpen,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The platform answered.
    Answered,
    /// The platform did not answer, or is out of service.
    Failed,
    /// The caller cancelled the call.
    Abandoned,
}

impl CallBudget {
    /// Creates a full budget.
    pub fn new(now: Time, rate_per_s: f64) -> Self {
        let circuit = Circuit::Closed { failures: 0 };
        let mut budget = Self {
            rate_per_s,
            tokens: 0.0,
            refilled_at: now,
            ramp_started_at: None,
            circuit,
            generation: 0,
        };
        budget.tokens = budget.burst_size();
        budget
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Time, rate_per_s: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
    }

    /// Returns whether the circuit is open.
    pub fn is_circuit_open(&self) -> bool {
        !matches!(self.circuit, Circuit::Closed { .. })
    }

    /// Requests permission for one call.
    pub fn acquire(&mut self, now: Time) -> Result<Permit, Refusal> {
        let generation = self.generation;
        match self.circuit {
            Circuit::Closed { .. } => {
                self.take_token(now).map(|wait| Permit { wait, is_probe: false, generation })
            }
            Circuit::Open { attempt, until } if now >= until => {
                self.circuit = Circuit::Probing { attempt };
                Ok(Permit { wait: Duration::ZERO, is_probe: true, generation })
            }
            Circuit::Open { .. } | Circuit::Probing { .. } => Err(Refusal::CircuitOpen),
        }
    }

    /// Returns the permit of a call that ended.
    pub fn release(&mut self, now: Time, permit: Permit, end: CallEnd, random: &mut impl Rng) {
        if permit.generation != self.generation {
            return;
        }
        match (self.circuit, end) {
            (Circuit::Probing { attempt }, CallEnd::Abandoned) if permit.is_probe => {
                self.circuit = Circuit::Open { attempt, until: now };
            }
            (_, CallEnd::Abandoned) => {}
            (Circuit::Closed { .. }, CallEnd::Answered) => {
                self.circuit = Circuit::Closed { failures: 0 };
            }
            (Circuit::Closed { failures }, CallEnd::Failed) if failures + 1 < FAILURES_TO_OPEN => {
                self.circuit = Circuit::Closed { failures: failures + 1 };
            }
            (Circuit::Closed { .. }, CallEnd::Failed) => self.open(now, 0, random),
            (Circuit::Probing { .. }, CallEnd::Answered) => self.close(now),
            (Circuit::Probing { attempt }, CallEnd::Failed) => self.open(now, attempt + 1, random),
            // Calls of this generation end before the circuit opens, except for its probe.
            (Circuit::Open { .. }, _) => {}
        }
    }

    fn open(&mut self, now: Time, attempt: u32, random: &mut impl Rng) {
        let doublings = attempt.min(16);
        let max_backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        let backoff = max_backoff.mul_f64(random.random_range(0.0..1.0));
        self.circuit = Circuit::Open { attempt, until: now + backoff };
        self.generation += 1;
    }

    fn close(&mut self, now: Time) {
        self.circuit = Circuit::Closed { failures: 0 };
        self.generation += 1;
        self.ramp_started_at = Some(now);
        self.refilled_at = now;
        self.tokens = 1.0;
    }

    fn take_token(&mut self, now: Time) -> Result<Duration, Refusal> {
        self.refill(now);
        let rate = self.rate_at(now);
        let wait_s = (1.0 - self.tokens).max(0.0) / rate;
        if wait_s > MAX_WAIT.as_secs_f64() {
            return Err(Refusal::RateLimited);
        }
        self.tokens -= 1.0;
        Ok(Duration::from_secs_f64(wait_s))
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_at(now);
        self.tokens = (self.tokens + gained).min(self.burst_size());
        self.refilled_at = now;
        if self.ramp_started_at.is_some_and(|started_at| now.since(started_at) >= RAMP_DURATION) {
            self.ramp_started_at = None;
        }
    }

    fn rate_at(&self, now: Time) -> f64 {
        let Some(started_at) = self.ramp_started_at else { return self.rate_per_s };
        let fraction = now.since(started_at).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        self.rate_per_s * fraction.clamp(INITIAL_RAMP_FRACTION, 1.0)
    }

    /// Returns the size of the token bucket: one during the ramp, so that no burst follows it.
    fn burst_size(&self) -> f64 {
        match self.ramp_started_at {
            Some(_) => 1.0,
            None => (self.rate_per_s * BURST_S).max(MIN_BURST_CALLS),
        }
    }
}
