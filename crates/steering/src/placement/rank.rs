//! Rendezvous hashing: all instances order the candidates for a key in the same way.

use crate::hash;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash of a name, which seeds its ranks.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the rank of a candidate for a key; the lowest comes first.
pub fn rank(key_hash: u64, candidate_hash: u64) -> u64 {
    xxh3_64_with_seed(&key_hash.to_le_bytes(), candidate_hash)
}

/// Returns the rank of a candidate with a weight; the lowest comes first (weighted rendezvous
/// hashing).
///
/// The rank is the time of the first event of a Poisson process with the weight as its rate. So
/// each candidate wins its share of the keys, and one that is added or removed moves no other keys.
pub fn weighted_rank(key_hash: u64, candidate_hash: u64, weight: u32) -> f64 {
    -(1.0 - key_position(key_hash, candidate_hash)).ln() / f64::from(weight.max(1))
}

/// Returns the position of a key in `0.0..1.0`, which is the same on all instances.
pub fn key_position(key_hash: u64, salt: u64) -> f64 {
    hash::unit_interval(rank(key_hash, salt))
}
