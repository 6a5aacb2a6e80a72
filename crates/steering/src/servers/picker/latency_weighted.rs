//! Selection by requests in flight, weighted by latency.

use super::{Candidate, Picker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Multiple of the lowest mean latency from which latencies count; smaller differences are random.
const MIN_SLOW_RATIO: u64 = 2;

/// Chooses the lowest of (requests in flight + 1) x slowness, with random tie-breaking.
///
/// Slowness is the mean latency as an integer multiple of the lowest one. A backend server without
/// a measurement counts as fast, so that it is soon measured.
#[derive(Clone, Debug)]
pub struct LatencyWeighted {
    rng: SmallRng,
}

impl LatencyWeighted {
    /// Creates the picker; `seed` seeds tie-breaking.
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Picker for LatencyWeighted {
    fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let fastest = candidates.iter().filter_map(|candidate| candidate.latency).min();
        let costs: Vec<u64> = candidates.iter().map(|candidate| cost(candidate, fastest)).collect();
        let least = costs.iter().min()?;
        let equals: Vec<usize> =
            (0..costs.len()).filter(|position| costs[*position] == *least).collect();
        Some(equals[self.rng.random_range(0..equals.len())])
    }
}

fn cost(candidate: &Candidate, fastest: Option<Duration>) -> u64 {
    let in_flight = u64::from(candidate.in_flight) + 1;
    match (candidate.latency, fastest) {
        (Some(latency), Some(fastest)) if !fastest.is_zero() => {
            let ratio = u64::try_from(latency.as_nanos() / fastest.as_nanos()).unwrap_or(u64::MAX);
            in_flight.saturating_mul(if ratio < MIN_SLOW_RATIO { 1 } else { ratio })
        }
        _ => in_flight,
    }
}
