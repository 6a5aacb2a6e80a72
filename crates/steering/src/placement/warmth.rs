//! Which backend servers have an object warm, as far as this instance knows, and how much faster
//! they are.
//!
//! A backend server works faster on an object that it had recently. It does not report which
//! objects these are, so an instance goes by the requests that it has sent.

use super::quantile::QuantileEstimator;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an object counts as warm after a request for it. A backend server that caches 11
/// to 53 objects evicts one without requests in about this time; requests of other instances keep
/// it for longer.
const WARM_TTL: Duration = Duration::from_secs(15);

/// Most pairs of object and backend server that are remembered: 16 bytes each, plus the time and
/// the overhead of the map.
const MAX_ENTRIES: usize = 8192;

/// Quantile of the response times of first requests that stands for cold responses. Other instances
/// may have sent the object there before, so not all of these are cold.
const COLD_QUANTILE: f64 = 0.7;

/// Quantile of the response times of later requests that stands for warm responses.
const WARM_QUANTILE: f64 = 0.5;

/// Responses of each kind needed before the quantiles are used.
const MIN_SAMPLES: u32 = 40;

/// Ratio of cold to warm response times until there are enough responses; it is 3.3 on existing
/// sites.
const DEFAULT_COLD_FACTOR: f64 = 3.0;

/// Bounds of the observed ratio: below 1.5 a cold response can't be told from one that waited for a
/// slot, and above 6 a second replica would never be used.
const COLD_FACTOR_BOUNDS: [f64; 2] = [1.5, 6.0];

/// Warm objects of a service.
#[derive(Debug)]
pub(super) struct Warmth {
    /// Time of the last request for an object to an incarnation, by the hashes of both.
    last_sent_at: HashMap<(u64, u64), Instant>,
    first_ms: QuantileEstimator,
    later_ms: QuantileEstimator,
}

impl Default for Warmth {
    fn default() -> Self {
        Self {
            last_sent_at: HashMap::new(),
            first_ms: QuantileEstimator::new(COLD_QUANTILE),
            later_ms: QuantileEstimator::new(WARM_QUANTILE),
        }
    }
}

impl Warmth {
    /// Records that a request for an object is sent; returns whether the object was known to be
    /// warm there.
    pub(super) fn record_sent(
        &mut self,
        key_hash: u64,
        incarnation_hash: u64,
        now: Instant,
    ) -> bool {
        if self.last_sent_at.len() >= MAX_ENTRIES {
            self.last_sent_at.retain(|_, at| now.duration_since(*at) < WARM_TTL);
            if self.last_sent_at.len() >= MAX_ENTRIES {
                self.last_sent_at.clear();
            }
        }
        let was_warm = self.is_warm(key_hash, incarnation_hash, now);
        self.last_sent_at.insert((key_hash, incarnation_hash), now);
        was_warm
    }

    /// Returns whether this instance knows that a backend server has an object warm.
    pub(super) fn is_warm(&self, key_hash: u64, incarnation_hash: u64, now: Instant) -> bool {
        let sent = self.last_sent_at.get(&(key_hash, incarnation_hash));
        sent.is_some_and(|at| now.duration_since(*at) < WARM_TTL)
    }

    /// Records the time to a response; `was_warm` is what [`Warmth::record_sent`] returned.
    pub(super) fn record_response(&mut self, was_warm: bool, sample_ms: f64) {
        let times = if was_warm { &mut self.later_ms } else { &mut self.first_ms };
        times.add(sample_ms);
    }

    /// Returns the time to a warm response in milliseconds, once there were enough responses.
    pub(super) fn response_ms(&self) -> Option<f64> {
        value_if_reliable(&self.later_ms)
    }

    /// Returns how many times longer a cold response takes than a warm one.
    pub(super) fn cold_factor(&self) -> f64 {
        let factor = match (value_if_reliable(&self.first_ms), value_if_reliable(&self.later_ms)) {
            (Some(first_ms), Some(later_ms)) => first_ms / later_ms.max(1.0),
            _ => DEFAULT_COLD_FACTOR,
        };
        factor.clamp(COLD_FACTOR_BOUNDS[0], COLD_FACTOR_BOUNDS[1])
    }
}

fn value_if_reliable(times: &QuantileEstimator) -> Option<f64> {
    times.value().filter(|_| times.samples() >= MIN_SAMPLES)
}
