//! The instances that share quotas, as seen by one of them.

use crate::hash::mix;
use crate::placement::rank::name_hash;
use serde::{Deserialize, Serialize};

/// Identifies an instance in messages between limiters: four bytes of the hash of its name.
///
/// If two instances have the same identifier, each one's leases replace the other's, so that less
/// is granted, never more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId([u8; 4]);

impl MemberId {
    /// Derives the identifier from the name of an instance.
    pub fn from_name(name: &str) -> Self {
        Self((name_hash(name) as u32).to_le_bytes())
    }

    /// Rank for rendezvous hashing: the member with the highest value for a hash comes first.
    pub(crate) fn rank(self, hash: u64) -> u64 {
        mix(hash ^ mix(u64::from(u32::from_le_bytes(self.0))))
    }
}

/// The instances that share quotas, as seen by one of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// This instance.
    pub own: MemberId,
    /// The live instances of its region, including itself.
    pub region_members: Vec<MemberId>,
    /// The live instances of each other region.
    pub other_regions: Vec<Vec<MemberId>>,
    /// Number of all instances that may be serving callers, including unreachable ones: each has an
    /// equal fraction of every quota.
    pub size: usize,
}

impl Fleet {
    /// A fleet of one instance.
    pub fn single(own: MemberId) -> Self {
        Self { own, region_members: vec![own], other_regions: Vec::new(), size: 1 }
    }

    /// The fraction of every quota that each instance has.
    pub(super) fn fraction(&self) -> f64 {
        1.0 / self.size.max(1) as f64
    }
}
