//! Whether one arm is better than another, measure by measure.

use super::Period;
use super::distribution::student_quantile;
use super::resample::{Drawn, deviation, draw, sum};
use serde::Serialize;
use std::fmt;

/// Fewest periods that show anything.
pub const LEAST_PERIODS: usize = 10;

/// Probability that arms without any difference are said to differ; the approximations behind it
/// may double it, and it must stay under 0.05.
const ERROR_PROBABILITY: f64 = 0.02;

/// Requests beyond a quantile below which it says too little.
const LEAST_BEYOND: f64 = 10.0;

/// Fewest requests of an arm for its refused share.
const LEAST_REQUESTS: u64 = 100;

/// What is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Median latency.
    P50,
    /// Latency that 1 request of 100 exceeds.
    P99,
    /// Latency that 1 request of 1,000 exceeds.
    P999,
    /// Part of the requests that were refused or have an unknown outcome.
    RefusedShare,
}

/// What one measure shows of the second arm.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finding {
    /// It is better.
    Better,
    /// It is worse.
    Worse,
    /// The interval of the difference holds zero.
    NoDifferenceShown,
    /// There are too few requests or periods.
    TooFew,
}

/// What all measures together show of the second arm.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Some measures are better and none is worse.
    Better,
    /// Some measures are worse and none is better.
    Worse,
    /// Some measures are better, others worse.
    Mixed,
    /// No measure differs as far as is shown.
    NoDifferenceShown,
}

/// One measure of both arms.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureComparison {
    /// The measure.
    pub measure: Measure,
    /// Value of the first arm: milliseconds, or a part from 0 to 1.
    pub base: Option<f64>,
    /// 95 % confidence interval of `base`.
    pub base_interval: Option<(f64, f64)>,
    /// Value of the second arm.
    pub trial: Option<f64>,
    /// 95 % confidence interval of `trial`.
    pub trial_interval: Option<(f64, f64)>,
    /// What it shows of the second arm.
    pub finding: Finding,
}

/// Two arms side by side.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Each measure.
    pub measures: Vec<MeasureComparison>,
    /// What they show together.
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

    /// Returns how much greater the second value is: the logarithm of the ratio of latencies, the
    /// difference of parts.
    fn difference(self, base: f64, trial: f64) -> f64 {
        match self.quantile() {
            Some(_) => (trial / base).ln(),
            None => trial - base,
        }
    }

    fn has_enough(self, arm: &Period) -> bool {
        match self.quantile() {
            Some(quantile) => arm.latency.total() as f64 * (1.0 - quantile) >= LEAST_BEYOND,
            None => arm.latency.total() + arm.refused >= LEAST_REQUESTS,
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
/// `groups` is the number of comparisons that are made at once, over which the probability of an
/// error is divided.
pub fn compare(base: &[Period], trial: &[Period], groups: usize, seed: u64) -> Comparison {
    let periods = base.len().min(trial.len());
    let drawn = draw(base, trial, seed);
    let whole = Drawn { base: sum(base.iter()), trial: sum(trial.iter()) };
    let judge = |measure| compare_measure(measure, &whole, &drawn, periods, groups.max(1));
    let measures: Vec<MeasureComparison> = Measure::ALL.into_iter().map(judge).collect();
    let verdict = verdict(&measures);
    Comparison { measures, verdict }
}

fn compare_measure(
    measure: Measure,
    whole: &Drawn,
    drawn: &[Drawn],
    periods: usize,
    groups: usize,
) -> MeasureComparison {
    let (base, trial) = (measure.value(&whole.base), measure.value(&whole.trial));
    let degrees_of_freedom = periods.saturating_sub(1).max(1) as f64;
    // Drawing from few periods makes their spread look smaller by this factor.
    let correction = (periods as f64 / degrees_of_freedom).sqrt();
    let own_width = correction * student_quantile(0.025, degrees_of_freedom);
    let interval = |value: Option<f64>, values: Vec<f64>| {
        let half = own_width * deviation(&values)?;
        value.map(|value| ((value - half).max(0.0), value + half))
    };
    let values = |arm: fn(&Drawn) -> &Period| {
        drawn.iter().filter_map(|drawn| measure.value(arm(drawn))).collect::<Vec<f64>>()
    };
    let enough = periods >= LEAST_PERIODS
        && measure.has_enough(&whole.base)
        && measure.has_enough(&whole.trial);
    let finding = match (base, trial) {
        (Some(base), Some(trial)) if enough => {
            let tail = ERROR_PROBABILITY / (2 * Measure::ALL.len() * groups) as f64;
            let width = correction * student_quantile(tail, degrees_of_freedom);
            finding(measure, measure.difference(base, trial), width, drawn)
        }
        _ => Finding::TooFew,
    };
    MeasureComparison {
        measure,
        base,
        base_interval: interval(base, values(|drawn| &drawn.base)),
        trial,
        trial_interval: interval(trial, values(|drawn| &drawn.trial)),
        finding,
    }
}

fn finding(measure: Measure, difference: f64, width: f64, drawn: &[Drawn]) -> Finding {
    let differences: Vec<f64> = drawn
        .iter()
        .filter_map(|drawn| {
            let (base, trial) = (measure.value(&drawn.base)?, measure.value(&drawn.trial)?);
            Some(measure.difference(base, trial))
        })
        .collect();
    let Some(error) = deviation(&differences) else { return Finding::TooFew };
    match difference.abs() > width * error {
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
