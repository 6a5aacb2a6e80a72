//! The fewest of our requests in flight, chance among equals.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Chooses one with the fewest of our requests in flight.
#[derive(Clone, Debug)]
pub struct LeastInFlight {
    random: SmallRng,
}

impl LeastInFlight {
    /// Makes the picker; `seed` decides among equals.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for LeastInFlight {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let fewest = candidates.iter().map(|candidate| candidate.in_flight).min()?;
        let equal = |(position, candidate): (usize, &Candidate)| {
            (candidate.in_flight == fewest).then_some(position)
        };
        let equals: Vec<usize> = candidates.iter().enumerate().filter_map(equal).collect();
        Some(equals[self.random.random_range(0..equals.len())])
    }
}
