//! The less loaded of two drawn by chance.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws two by chance and chooses the one with fewer of our requests in flight.
#[derive(Clone, Debug)]
pub struct PowerOfTwo {
    random: SmallRng,
}

impl PowerOfTwo {
    /// Makes the picker.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for PowerOfTwo {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.len() < 2 {
            return (!candidates.is_empty()).then_some(0);
        }
        let first = self.random.random_range(0..candidates.len());
        let step = self.random.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let fewer = candidates[second].in_flight < candidates[first].in_flight;
        Some(if fewer { second } else { first })
    }
}
