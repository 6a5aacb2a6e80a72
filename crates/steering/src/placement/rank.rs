//! Rendezvous hashing: an order of candidates for a key that all instances agree on.

use crate::hash;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a name, the seed of its ranks.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Rank of a candidate for a key; the lowest comes first.
pub fn rank(key_hash: u64, candidate_hash: u64) -> u64 {
    xxh3_64_with_seed(&key_hash.to_le_bytes(), candidate_hash)
}

/// Rank of a candidate that comes first in proportion to its weight; the lowest comes first.
///
/// It is the time of the first event of a process with this rate, so that each candidate wins its
/// share of the keys, and one that comes or goes moves no other key (weighted rendezvous hashing).
pub fn weighted_rank(key_hash: u64, candidate_hash: u64, weight: u32) -> f64 {
    -(1.0 - key_position(key_hash, candidate_hash)).ln() / f64::from(weight.max(1))
}

/// Place of a key in `0.0..1.0`, the same on all instances.
pub fn key_position(key_hash: u64, salt: u64) -> f64 {
    hash::unit_interval(rank(key_hash, salt))
}
