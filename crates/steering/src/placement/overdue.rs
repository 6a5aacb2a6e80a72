//! When an answer is overdue, so that a request that may be repeated is sent elsewhere.
//!
//! A lost answer, a silent connection and a backend server that stands still look alike from here:
//! nothing comes.  What the service's answers usually take tells when to stop waiting for one.

use super::quantile::Quantile;
use std::time::Duration;

/// Part of the answers that come sooner than an answer that is overdue, before
/// [`FACTOR`]: those after it are mostly cold or waited for a slot.
const TAIL: f64 = 0.95;

/// How many times the tail an answer has to take: a repeat for each answer in the tail would spend
/// a quarter of the retry budget on answers that come.
const FACTOR: f64 = 1.25;

/// Factor for a backend server that is cold: its work takes up to twice as long.
const COLD_FACTOR: f64 = 2.0;

/// Least time after which an answer is overdue: a round trip between the regions that are farthest
/// apart today.
const LEAST: Duration = Duration::from_millis(110);

/// Answers from which on the tail is believed.
const LEAST_SAMPLES: u32 = 50;

/// The tail of a service's answer times.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overdue {
    tail_ms: Quantile,
}

impl Default for Overdue {
    fn default() -> Self {
        Self { tail_ms: Quantile::new(TAIL) }
    }
}

impl Overdue {
    /// Takes over the time to an answer, in milliseconds.
    pub(super) fn answered(&mut self, sample_ms: f64) {
        self.tail_ms.add(sample_ms);
    }

    /// Takes over that an answer was overdue: it would be missing in the tail if it never came.
    pub(super) fn record_overdue(&mut self) {
        self.tail_ms.exceeded();
    }

    /// Time after which an answer is overdue; none while too few answers came to tell.
    pub(super) fn after(&self, cold: bool) -> Option<Duration> {
        let tail_ms = self.tail_ms.value().filter(|_| self.tail_ms.samples() >= LEAST_SAMPLES)?;
        let factor = if cold { FACTOR * COLD_FACTOR } else { FACTOR };
        Some(Duration::from_secs_f64(tail_ms * factor / 1_000.0).max(LEAST))
    }
}
