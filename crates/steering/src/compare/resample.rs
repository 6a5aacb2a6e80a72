//! Bootstrap resampling of whole periods, the same ones for both arms.

use super::Period;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of bootstrap samples.
const SAMPLES: usize = 200;

/// One bootstrap sample: the sums of the sampled periods of each arm.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    pub(super) base: Period,
    pub(super) trial: Period,
}

/// Adds up all periods.
pub(super) fn sum<'a>(periods: impl Iterator<Item = &'a Period>) -> Period {
    periods.fold(Period::default(), |mut sum, period| {
        sum.latency.add(&period.latency);
        sum.refused += period.refused;
        sum
    })
}

/// Returns [`SAMPLES`] samples, each of as many periods as there are, with replacement.
pub(super) fn bootstrap(base: &[Period], trial: &[Period], seed: u64) -> Vec<Sample> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = base.len().min(trial.len());
    (0..SAMPLES)
        .map(|_| {
            let positions: Vec<usize> = (0..count).map(|_| random.random_range(0..count)).collect();
            Sample {
                base: sum(positions.iter().map(|position| &base[*position])),
                trial: sum(positions.iter().map(|position| &trial[*position])),
            }
        })
        .collect()
}

/// Returns the sample standard deviation; `None` for fewer than two values.
pub(super) fn standard_deviation(values: &[f64]) -> Option<f64> {
    if values.len() < 2 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    Some((squares / (values.len() - 1) as f64).sqrt())
}
