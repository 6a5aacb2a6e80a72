//! Measurements of memory and time at several sizes.

mod blocks;
mod lookups;
mod versions;

use crate::slope::Slope;
use std::time::{Duration, Instant};

/// Repetitions of each measurement; the median is used.
const REPEATS: usize = 5;

/// A quantity measured at several sizes.
pub(crate) struct Series {
    /// The measured quantity, with its unit.
    pub(crate) quantity: &'static str,
    /// The size that was varied.
    pub(crate) size: &'static str,
    /// Measured points of `(size, value)`.
    pub(crate) points: Vec<(f64, f64)>,
}

impl Series {
    /// Returns the line fitted to the points.
    pub(crate) fn slope(&self) -> Slope {
        Slope::fit(&self.points)
    }
}

/// The results of all measurements.
pub(crate) struct Measured {
    pub(crate) block_table_bytes: Series,
    pub(crate) block_table_build_ms: Series,
    pub(crate) block_lookup_ns: Series,
    pub(crate) configuration_bytes: Series,
    pub(crate) version_check_ms: Series,
    pub(crate) lookup_choice_us: Series,
    pub(crate) lookup_build_ms: Series,
}

impl Measured {
    /// Runs all measurements.
    pub(crate) fn measure_all() -> Self {
        let blocks = blocks::measure();
        let versions = versions::measure();
        let lookups = lookups::measure();
        Self {
            block_table_bytes: blocks.bytes,
            block_table_build_ms: blocks.build_ms,
            block_lookup_ns: blocks.lookup_ns,
            configuration_bytes: versions.text_bytes,
            version_check_ms: versions.check_ms,
            lookup_choice_us: lookups.choice_us,
            lookup_build_ms: lookups.build_ms,
        }
    }

    /// Returns all series, for the table of slopes.
    pub(crate) fn series(&self) -> [&Series; 7] {
        [
            &self.block_table_bytes,
            &self.block_table_build_ms,
            &self.block_lookup_ns,
            &self.configuration_bytes,
            &self.version_check_ms,
            &self.lookup_choice_us,
            &self.lookup_build_ms,
        ]
    }
}

/// Returns the median execution time of a closure.
fn median_time<T>(mut work: impl FnMut() -> T) -> Duration {
    let mut times: Vec<Duration> = (0..REPEATS)
        .map(|_| {
            let started = Instant::now();
            std::hint::black_box(work());
            started.elapsed()
        })
        .collect();
    times.sort();
    times[REPEATS / 2]
}
