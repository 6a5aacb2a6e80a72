//! The fewest of our requests in flight, those of slow backend servers counted more.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Mean answer times count from this multiple of the fastest on; closer ones differ by chance.
const SLOW_RATIO: u64 = 2;

/// Chooses the least of (our requests in flight + 1) x slowness, chance among equals.
///
/// Slowness is the mean answer time as a whole multiple of the fastest one.  One that was not
/// measured yet counts as fast, so that it is measured soon.
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
        let fastest = candidates.iter().filter_map(|candidate| candidate.latency).min();
        let costs: Vec<u64> = candidates.iter().map(|candidate| cost(candidate, fastest)).collect();
        let least = costs.iter().min()?;
        let equals: Vec<usize> =
            (0..costs.len()).filter(|position| costs[*position] == *least).collect();
        Some(equals[self.random.random_range(0..equals.len())])
    }
}

fn cost(candidate: &Candidate, fastest: Option<Duration>) -> u64 {
    let in_flight = u64::from(candidate.in_flight) + 1;
    match (candidate.latency, fastest) {
        (Some(latency), Some(fastest)) if !fastest.is_zero() => {
            let ratio = u64::try_from(latency.as_nanos() / fastest.as_nanos()).unwrap_or(u64::MAX);
            in_flight.saturating_mul(if ratio < SLOW_RATIO { 1 } else { ratio })
        }
        _ => in_flight,
    }
}
