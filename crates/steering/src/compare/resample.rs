//! Drawing whole periods again, the same ones for both arms.

use super::Period;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of times that the periods are drawn.
const DRAWS: usize = 200;

/// One drawing: the periods of each arm, added up.
#[derive(Clone, Debug, Default)]
pub(super) struct Drawn {
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

/// Draws as many periods as there are, with repetition, again and again.
pub(super) fn draw(base: &[Period], trial: &[Period], seed: u64) -> Vec<Drawn> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = base.len().min(trial.len());
    (0..DRAWS)
        .map(|_| {
            let drawn: Vec<usize> = (0..count).map(|_| random.random_range(0..count)).collect();
            Drawn {
                base: sum(drawn.iter().map(|period| &base[*period])),
                trial: sum(drawn.iter().map(|period| &trial[*period])),
            }
        })
        .collect()
}

/// Returns the standard deviation of some values; `None` for fewer than two.
pub(super) fn deviation(values: &[f64]) -> Option<f64> {
    if values.len() < 2 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    Some((squares / (values.len() - 1) as f64).sqrt())
}
