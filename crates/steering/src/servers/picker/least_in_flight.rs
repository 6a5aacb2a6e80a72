//! Selection of the backend server with the fewest requests in flight.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Chooses one with the fewest requests of this instance in flight, with random tie-breaking.
#[derive(Clone, Debug)]
pub struct LeastInFlight {
    rng: SmallRng,
}

impl LeastInFlight {
    /// Creates the picker; `seed` seeds tie-breaking.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for LeastInFlight {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let fewest = candidates.iter().map(|candidate| candidate.in_flight).min()?;
        let equal = |(position, candidate): (usize, &Candidate)| {
            (candidate.in_flight == fewest).then_some(position)
        };
        let equals: Vec<usize> = candidates.iter().enumerate().filter_map(equal).collect();
        Some(equals[self.rng.random_range(0..equals.len())])
    }
}
