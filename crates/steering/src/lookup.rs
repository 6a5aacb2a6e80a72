//! Which entry instances a caller is told to use.

use configuration::{Configuration, ZoneIndex};
use std::net::SocketAddr;

/// An entry instance that may be named in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneIndex,
}

/// One entry of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Address for callers.
    pub address: SocketAddr,
    /// Relative part of the caller's requests.
    pub weight: u32,
}

/// Weight of an instance in the caller's nearest availability zone that has one.
const NEAR_WEIGHT: u32 = 100;

/// Weight of an instance that is there in case the nearest ones fail.
const FAR_WEIGHT: u32 = 0;

/// Chooses up to the configured number of instances, nearest first.
///
/// Instances of one availability zone are rotated by `caller_hash`, so that callers spread.
pub fn choose(
    configuration: &Configuration,
    candidates: &[Candidate],
    near: ZoneIndex,
    caller_hash: u64,
) -> Vec<Choice> {
    let mut ordered: Vec<(u64, u64, &Candidate)> = candidates
        .iter()
        .map(|candidate| {
            let delay_us = (configuration.delay_ms(near, candidate.zone) * 1_000.0) as u64;
            (delay_us, rank(caller_hash, candidate.address), candidate)
        })
        .collect();
    ordered.sort_by_key(|(delay_us, rank, _)| (*delay_us, *rank));
    let nearest_us = ordered.first().map(|(delay_us, _, _)| *delay_us);
    ordered
        .iter()
        .take(configuration.lookup.instances)
        .map(|(delay_us, _, candidate)| Choice {
            address: candidate.address,
            weight: if Some(*delay_us) == nearest_us { NEAR_WEIGHT } else { FAR_WEIGHT },
        })
        .collect()
}

/// Ranks an instance for a caller: rendezvous hashing, stable as other instances come and go.
fn rank(caller_hash: u64, address: SocketAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (caller_hash, address).hash(&mut hasher);
    hasher.finish()
}
