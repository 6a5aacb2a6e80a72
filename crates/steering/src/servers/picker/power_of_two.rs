//! Selection by the power of two random choices.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws two candidates at random and chooses the one with fewer requests of this instance in
/// flight.
#[derive(Clone, Debug)]
pub struct PowerOfTwo {
    rng: SmallRng,
}

impl PowerOfTwo {
    /// Creates the picker; `seed` seeds its draws.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for PowerOfTwo {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.len() < 2 {
            return (!candidates.is_empty()).then_some(0);
        }
        let first = self.rng.random_range(0..candidates.len());
        let step = self.rng.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let fewer = candidates[second].in_flight < candidates[first].in_flight;
        Some(if fewer { second } else { first })
    }
}
