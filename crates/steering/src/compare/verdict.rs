//! Verdict on whether one arm is better than another, by measure.

use super::Period;
use super::distribution::student_quantile;
use super::resample::{Sample, bootstrap, standard_deviation, sum};
use serde::Serialize;
use std::fmt;

/// Fewest periods for a finding.
pub const MIN_PERIODS: usize = 10;

/// Probability of a false finding for equal arms; the approximations may double it, and it must
/// stay below 0.05.
const ERROR_PROBABILITY: f64 = 0.02;

/// Fewest requests beyond a quantile for a finding about it.
const MIN_TAIL_REQUESTS: f64 = 10.0;

/// Fewest requests of an arm for a finding about its refused share.
const MIN_REQUESTS: u64 = 100;

/// A measure that is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Median latency.
    P50,
    /// Latency that 1 request of 100 exceeds.
    P99,
    /// Latency that 1 request of 1,000 exceeds.
    P999,
    /// Fraction of the requests that were refused or have an unknown outcome.
    RefusedShare,
}

/// Finding about the second arm by one measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finding {
    /// It is better.
    Better,
    /// It is worse.
    Worse,
    /// The confidence interval of the difference contains zero.
    NoDifferenceShown,
    /// There are too few requests or periods.
    TooFew,
}

/// Verdict on the second arm by all measures.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Some measures are better and none is worse.
    Better,
    /// Some measures are worse and none is better.
    Worse,
    /// Some measures are better, others worse.
    Mixed,
    /// No measure shows a difference.
    NoDifferenceShown,
}

/// One measure of both arms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureComparison {
    /// The measure.
    pub measure: Measure,
    /// Value of the first arm: milliseconds, or a fraction from 0 to 1.
    pub base: Option<f64>,
    /// 95 % confidence interval of `base`.
    pub base_interval: Option<(f64, f64)>,
    /// Value of the second arm.
    pub trial: Option<f64>,
    /// 95 % confidence interval of `trial`.
    pub trial_interval: Option<(f64, f64)>,
    /// Finding about the second arm.
    pub finding: Finding,
}

/// Comparison of two arms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Comparison by measure.
    pub measures: Vec<MeasureComparison>,
    /// Verdict by all measures.
    pub verdict: Verdict,
}

impl Measure {
    /// Every measure.
    pub const ALL: [Measure; 4] =
        [Measure::P50, Measure::P99, Measure::P999, Measure::RefusedShare];

    /// Returns the quantile of a latency measure.
    fn quantile(self) -> Option<f64> {
        match self {
            Measure::P50 => Some(0.5),
            Measure::P99 => Some(0.99),
            Measure::P999 => Some(0.999),
            Measure::RefusedShare => None,
        }
    }

    /// Returns the value of an arm; `None` without requests.
    fn value(self, arm: &Period) -> Option<f64> {
        match self.quantile() {
            Some(quantile) => arm.latency.quantile_ms(quantile),
            None => {
                let requests = arm.latency.total() + arm.refused;
                (requests > 0).then(|| arm.refused as f64 / requests as f64)
            }
        }
    }

    /// Returns how much larger the second value is: the logarithm of the ratio of latencies, or the
    /// difference of fractions.
    fn difference(self, base: f64, trial: f64) -> f64 {
        match self.quantile() {
            Some(_) => (trial / base).ln(),
            None => trial - base,
        }
    }

    fn has_enough(self, arm: &Period) -> bool {
        match self.quantile() {
            Some(quantile) => arm.latency.total() as f64 * (1.0 - quantile) >= MIN_TAIL_REQUESTS,
            None => arm.latency.total() + arm.refused >= MIN_REQUESTS,
        }
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Measure::P50 => "p50",
            Measure::P99 => "p99",
            Measure::P999 => "p999",
            Measure::RefusedShare => "refused",
        })
    }
}

/// Compares the arm `trial` with the arm `base`, period by period.
///
/// `groups` is the number of comparisons made at once, by which the probability of a false finding
/// is divided.
pub fn compare(base: &[Period], trial: &[Period], groups: usize, seed: u64) -> Comparison {
    let periods = base.len().min(trial.len());
    let samples = bootstrap(base, trial, seed);
    let totals = Sample { base: sum(base.iter()), trial: sum(trial.iter()) };
    let compare_by = |measure| compare_measure(measure, &totals, &samples, periods, groups.max(1));
    let measures: Vec<MeasureComparison> = Measure::ALL.into_iter().map(compare_by).collect();
    let verdict = verdict(&measures);
    Comparison { measures, verdict }
}

fn compare_measure(
    measure: Measure,
    totals: &Sample,
    samples: &[Sample],
    periods: usize,
    groups: usize,
) -> MeasureComparison {
    let (base, trial) = (measure.value(&totals.base), measure.value(&totals.trial));
    let degrees_of_freedom = periods.saturating_sub(1).max(1) as f64;
    // Bootstrap samples of few periods underestimate the spread by this factor.
    let correction = (periods as f64 / degrees_of_freedom).sqrt();
    let interval_factor = correction * student_quantile(0.025, degrees_of_freedom);
    let interval = |value: Option<f64>, values: Vec<f64>| {
        let half_width = interval_factor * standard_deviation(&values)?;
        value.map(|value| ((value - half_width).max(0.0), value + half_width))
    };
    let values = |arm: fn(&Sample) -> &Period| {
        samples.iter().filter_map(|sample| measure.value(arm(sample))).collect::<Vec<f64>>()
    };
    let has_enough = periods >= MIN_PERIODS
        && measure.has_enough(&totals.base)
        && measure.has_enough(&totals.trial);
    let finding = match (base, trial) {
        (Some(base), Some(trial)) if has_enough => {
            let tail = ERROR_PROBABILITY / (2 * Measure::ALL.len() * groups) as f64;
            let critical_value = correction * student_quantile(tail, degrees_of_freedom);
            finding(measure, measure.difference(base, trial), critical_value, samples)
        }
        _ => Finding::TooFew,
    };
    MeasureComparison {
        measure,
        base,
        base_interval: interval(base, values(|sample| &sample.base)),
        trial,
        trial_interval: interval(trial, values(|sample| &sample.trial)),
        finding,
    }
}

fn finding(measure: Measure, difference: f64, critical_value: f64, samples: &[Sample]) -> Finding {
    let differences: Vec<f64> = samples
        .iter()
        .filter_map(|sample| {
            let (base, trial) = (measure.value(&sample.base)?, measure.value(&sample.trial)?);
            Some(measure.difference(base, trial))
        })
        .collect();
    let Some(standard_error) = standard_deviation(&differences) else { return Finding::TooFew };
    match difference.abs() > critical_value * standard_error {
        true if difference < 0.0 => Finding::Better,
        true => Finding::Worse,
        false => Finding::NoDifferenceShown,
    }
}

fn verdict(measures: &[MeasureComparison]) -> Verdict {
    let any = |wanted: Finding| measures.iter().any(|measure| measure.finding == wanted);
    match (any(Finding::Better), any(Finding::Worse)) {
        (true, false) => Verdict::Better,
        (false, true) => Verdict::Worse,
        (true, true) => Verdict::Mixed,
        (false, false) => Verdict::NoDifferenceShown,
    }
}
