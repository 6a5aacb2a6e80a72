//! How often an instance may call the platform, and when it leaves it alone.
//!
//! A token bucket bounds the rate.  After failures in a row the circuit opens: calls fail at once,
//! but for one probing call at a time, after a pause drawn from a range that doubles (exponential
//! backoff with full jitter).  After an outage the rate rises slowly, so that all instances
//! together do not overload the platform again.

use crate::Time;
use rand::Rng;
use std::time::Duration;

/// Failures in a row that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;

/// Upper end of the first pause before a probing call.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Upper end of every later pause.
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Longest wait for a token; a call that would wait longer is refused.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Seconds of the rate that may be used at once.
const BURST_S: f64 = 2.0;

/// Least burst, in calls.
const LEAST_BURST: f64 = 4.0;

/// Time over which the rate rises again after an outage.
const RAMP: Duration = Duration::from_secs(30);

/// Part of the rate at the start of the rise.
const RAMP_START: f64 = 0.1;

/// Calls a second that all instances together may make, below the platform's 2,000 reads a second.
const FLEET_CALLS_PER_S: f64 = 1_500.0;

/// Calls a second that an instance may make where it could have more.
const MAX_CALLS_PER_S: f64 = 50.0;

/// Further calls a second for an instance that watches on behalf of its availability zone.
const WATCHER_CALLS_PER_S: f64 = 5.0;

/// Returns the calls a second that one of `instances` instances may make.
pub fn rate_per_s(instances: usize, is_watcher: bool) -> f64 {
    let share = (FLEET_CALLS_PER_S / instances.max(1) as f64).min(MAX_CALLS_PER_S);
    if is_watcher { share + WATCHER_CALLS_PER_S } else { share }
}

/// The budget of one instance.
#[derive(Clone, Debug)]
pub struct CallBudget {
    rate_per_s: f64,
    tokens: f64,
    filled_at: Time,
    ramp_start: Option<Time>,
    circuit: Circuit,
    generation: u64,
}

#[derive(Clone, Copy, Debug)]
enum Circuit {
    Closed { failures: u32 },
    Open { attempt: u32, until: Time },
    Probing { attempt: u32 },
}

/// The right to make one call, to be given back as [`CallBudget::ended`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Time to wait before the call.
    pub wait: Duration,
    /// Whether the call probes a platform that was out of reach.
    pub is_probe: bool,
    generation: u64,
}

/// Why a call must not be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The rate is used up.
    Rate,
    /// The platform was out of reach and is not probed yet.
    CircuitOpen,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The platform answered.
    Answered,
    /// It did not, or said that it is out of service.
    Failed,
    /// The caller gave it up before it ended.
    Abandoned,
}

impl CallBudget {
    /// Makes a full budget.
    pub fn new(now: Time, rate_per_s: f64) -> Self {
        let circuit = Circuit::Closed { failures: 0 };
        let mut budget = Self {
            rate_per_s,
            tokens: 0.0,
            filled_at: now,
            ramp_start: None,
            circuit,
            generation: 0,
        };
        budget.tokens = budget.burst();
        budget
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Time, rate_per_s: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
    }

    /// Tells whether calls are refused because the platform was out of reach.
    pub fn is_open(&self) -> bool {
        !matches!(self.circuit, Circuit::Closed { .. })
    }

    /// Asks for the right to make one call.
    pub fn ask(&mut self, now: Time) -> Result<Permit, Refusal> {
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

    /// Takes note of how a call ended.
    pub fn ended(&mut self, now: Time, permit: Permit, end: CallEnd, random: &mut impl Rng) {
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
            // A call of this generation ends only before the circuit opens, or as its probe.
            (Circuit::Open { .. }, _) => {}
        }
    }

    fn open(&mut self, now: Time, attempt: u32, random: &mut impl Rng) {
        let doublings = attempt.min(16);
        let longest = (FIRST_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        let pause = longest.mul_f64(random.random_range(0.0..1.0));
        self.circuit = Circuit::Open { attempt, until: now + pause };
        self.generation += 1;
    }

    fn close(&mut self, now: Time) {
        self.circuit = Circuit::Closed { failures: 0 };
        self.generation += 1;
        self.ramp_start = Some(now);
        self.filled_at = now;
        self.tokens = 1.0;
    }

    fn take_token(&mut self, now: Time) -> Result<Duration, Refusal> {
        self.fill(now);
        let rate = self.rate_at(now);
        let wait_s = (1.0 - self.tokens).max(0.0) / rate;
        if wait_s > MAX_WAIT.as_secs_f64() {
            return Err(Refusal::Rate);
        }
        self.tokens -= 1.0;
        Ok(Duration::from_secs_f64(wait_s))
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate_at(now);
        self.tokens = (self.tokens + gained).min(self.burst());
        self.filled_at = now;
        if self.ramp_start.is_some_and(|start| now.since(start) >= RAMP) {
            self.ramp_start = None;
        }
    }

    fn rate_at(&self, now: Time) -> f64 {
        let Some(start) = self.ramp_start else { return self.rate_per_s };
        let part = now.since(start).as_secs_f64() / RAMP.as_secs_f64();
        self.rate_per_s * part.clamp(RAMP_START, 1.0)
    }

    /// Returns the most tokens that gather; few during the rise, so that no burst follows it.
    fn burst(&self) -> f64 {
        match self.ramp_start {
            Some(_) => 1.0,
            None => (self.rate_per_s * BURST_S).max(LEAST_BURST),
        }
    }
}
