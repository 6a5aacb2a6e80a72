//! Time after which a response is overdue, so that a request that may run more than once is hedged.
//!
//! A lost response, a dead connection and a stopped backend server all look the same to an
//! instance: no response comes. How long to wait follows from the usual response times of the
//! service.

use super::quantile::QuantileEstimator;
use std::time::Duration;

/// Quantile of the response times that [`TAIL_FACTOR`] multiplies: responses above it are mostly
/// cold or waited for a slot.
const TAIL_QUANTILE: f64 = 0.95;

/// Factor on the tail quantile: hedging each response above the quantile itself would spend a
/// quarter of the retry budget on responses that come anyway.
const TAIL_FACTOR: f64 = 1.25;

/// Additional factor for a cold backend server, which takes up to twice as long.
const COLD_FACTOR: f64 = 2.0;

/// Lower bound: a round trip between the two regions that are farthest apart.
const MIN_THRESHOLD: Duration = Duration::from_millis(110);

/// Responses needed before the quantile is used.
const MIN_SAMPLES: u32 = 50;

/// Overdue threshold from the response times of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverdueThreshold {
    tail_ms: QuantileEstimator,
}

impl Default for OverdueThreshold {
    fn default() -> Self {
        Self { tail_ms: QuantileEstimator::new(TAIL_QUANTILE) }
    }
}

impl OverdueThreshold {
    /// Records the time to a response, in milliseconds.
    pub(super) fn record_response(&mut self, sample_ms: f64) {
        self.tail_ms.add(sample_ms);
    }

    /// Records an overdue response. Without this, a response that never comes would be missing from
    /// the tail.
    pub(super) fn record_overdue(&mut self) {
        self.tail_ms.add_exceeding();
    }

    /// Returns the time after which a response is overdue; `None` while there are too few
    /// responses.
    pub(super) fn threshold(&self, cold: bool) -> Option<Duration> {
        let tail_ms = self.tail_ms.value().filter(|_| self.tail_ms.samples() >= MIN_SAMPLES)?;
        let factor = if cold { TAIL_FACTOR * COLD_FACTOR } else { TAIL_FACTOR };
        Some(Duration::from_secs_f64(tail_ms * factor / 1_000.0).max(MIN_THRESHOLD))
    }
}
