//! Which backend servers have an object warm, as far as this instance knows, and what that saves.
//!
//! A backend server works faster on an object that it had lately.  Nothing tells which these are;
//! the requests that this instance has sent do.

use super::quantile::Quantile;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an object is taken to be warm after a request for it was sent.  Backend servers
/// that keep 11 to 53 objects of their last requests forget one that nobody asks for in about this
/// time; those that others ask for stay longer.
const LIFE: Duration = Duration::from_secs(15);

/// Most pairs of object and backend server that are remembered: 16 bytes each and the map's own.
const MOST: usize = 8192;

/// Part of the answers to a first request that take less than a cold answer does: others may have
/// sent the object there, so that not all of them are cold.
const COLD_QUANTILE: f64 = 0.7;

/// Part of the answers to later requests that take less than a warm answer does.
const WARM_QUANTILE: f64 = 0.5;

/// Answers of each kind from which on the quantiles are believed.
const LEAST_SAMPLES: u32 = 40;

/// How many times longer a cold answer takes, until it was measured: 3.3 on the sites of today.
const EXPECTED_FACTOR: f64 = 3.0;

/// Bounds of the measured factor: a cold answer under 1.5 is not told from one that waited, and a
/// factor above 6 would keep a second replica from being used at all.
const FACTOR_BOUNDS: [f64; 2] = [1.5, 6.0];

/// What is known of the warmth of a service's objects.
#[derive(Debug)]
pub(super) struct Warmth {
    /// When the object was last sent to the incarnation of a backend server, by the hashes of both.
    sent: HashMap<(u64, u64), Instant>,
    first_ms: Quantile,
    later_ms: Quantile,
}

impl Default for Warmth {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            first_ms: Quantile::new(COLD_QUANTILE),
            later_ms: Quantile::new(WARM_QUANTILE),
        }
    }
}

impl Warmth {
    /// Notes that a request for an object is sent; returns whether it was known to be warm there.
    pub(super) fn sent(&mut self, key_hash: u64, incarnation_hash: u64, now: Instant) -> bool {
        if self.sent.len() >= MOST {
            self.sent.retain(|_, at| now.duration_since(*at) < LIFE);
            if self.sent.len() >= MOST {
                self.sent.clear();
            }
        }
        let was_warm = self.is_warm(key_hash, incarnation_hash, now);
        self.sent.insert((key_hash, incarnation_hash), now);
        was_warm
    }

    /// Tells whether this instance knows that a backend server has an object warm.
    pub(super) fn is_warm(&self, key_hash: u64, incarnation_hash: u64, now: Instant) -> bool {
        let sent = self.sent.get(&(key_hash, incarnation_hash));
        sent.is_some_and(|at| now.duration_since(*at) < LIFE)
    }

    /// Takes over the time to an answer; `was_warm` is what [`Warmth::sent`] returned.
    pub(super) fn answered(&mut self, was_warm: bool, sample_ms: f64) {
        let times = if was_warm { &mut self.later_ms } else { &mut self.first_ms };
        times.add(sample_ms);
    }

    /// Time to a warm answer in milliseconds, once enough came to tell.
    pub(super) fn answer_ms(&self) -> Option<f64> {
        known(&self.later_ms)
    }

    /// How many times longer a cold answer takes than a warm one.
    pub(super) fn cold_factor(&self) -> f64 {
        let factor = match (known(&self.first_ms), known(&self.later_ms)) {
            (Some(first_ms), Some(later_ms)) => first_ms / later_ms.max(1.0),
            _ => EXPECTED_FACTOR,
        };
        factor.clamp(FACTOR_BOUNDS[0], FACTOR_BOUNDS[1])
    }
}

fn known(times: &Quantile) -> Option<f64> {
    times.value().filter(|_| times.samples() >= LEAST_SAMPLES)
}
