//! Statistical comparison of two arms on live traffic.
//!
//! Both arms serve callers at the same time, so each period of both has the same external effects,
//! such as load or a drain.  A block bootstrap resamples whole periods, the same ones for both
//! arms, because the requests of one period depend on each other through queues.  Its standard
//! error, with Student's t for the number of periods and Bonferroni's correction for the number of
//! measures, yields the confidence interval of the difference.

mod distribution;
mod histogram;
mod resample;
mod verdict;

pub use histogram::{BINS, LatencyHistogram};
pub use verdict::{Comparison, Finding, MIN_PERIODS, Measure, MeasureComparison, Verdict, compare};

/// Results of one arm in one period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Period {
    /// Latencies of the requests with a complete response.
    pub latency: LatencyHistogram,
    /// Requests that were refused, or whose outcome is unknown.
    pub refused: u64,
}
