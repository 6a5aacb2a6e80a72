//! Comparing two arms on live traffic: what each measured, and whether they differ.
//!
//! Both arms serve callers at the same time, so what moves both (load, a drain) is in each period of
//! both.  Whole periods are drawn again and again (a block bootstrap), the same ones for both arms:
//! requests of one period depend on each other through queues, and this keeps that.  The standard
//! error found that way, with Student's t for the number of periods and Bonferroni's correction for
//! the number of measures, gives the interval of the difference.

mod distribution;
mod histogram;
mod resample;
mod verdict;

pub use histogram::{BINS, LatencyHistogram};
pub use verdict::{
    Comparison, Finding, LEAST_PERIODS, Measure, MeasureComparison, Verdict, compare,
};

/// What one arm did in one period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Period {
    /// Times of requests that were answered whole.
    pub latency: LatencyHistogram,
    /// Requests that were refused, or whose outcome is unknown.
    pub refused: u64,
}
