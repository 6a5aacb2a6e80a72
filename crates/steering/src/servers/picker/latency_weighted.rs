//! The shortest expected wait: our requests in flight times the mean answer time.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Chooses the least of (our requests in flight + 1) x mean answer time, chance among equals.
///
/// One that was not measured yet counts as fast, so that it is measured soon.
#[derive(Clone, Debug)]
pub struct LatencyWeighted {
    random: SmallRng,
}

impl LatencyWeighted {
    /// Makes the picker; `seed` decides among equals.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for LatencyWeighted {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let cheapest = candidates.iter().map(cost).min()?;
        let equal = |(position, candidate): (usize, &Candidate)| {
            (cost(candidate) == cheapest).then_some(position)
        };
        let equals: Vec<usize> = candidates.iter().enumerate().filter_map(equal).collect();
        Some(equals[self.random.random_range(0..equals.len())])
    }
}

fn cost(candidate: &Candidate) -> u128 {
    let latency_ns = candidate.latency.map_or(1, |latency| latency.as_nanos().max(1));
    (u128::from(candidate.in_flight) + 1) * latency_ns
}
