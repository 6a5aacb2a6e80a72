//! The instances that share quotas, as one of them sees them.

use crate::hash::mix;
use crate::placement::rank::name_hash;
use serde::{Deserialize, Serialize};

/// What stands for an instance in what limiters tell each other: four bytes of its name's hash.  Two
/// that are alike replace each other's leases, so that less is granted, and never more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId([u8; 4]);

impl MemberId {
    /// The instance of a name.
    pub fn from_name(name: &str) -> Self {
        Self((name_hash(name) as u32).to_le_bytes())
    }

    /// Its place among others for a hash; the highest comes first.
    pub(crate) fn rank(self, hash: u64) -> u64 {
        mix(hash ^ mix(u64::from(u32::from_le_bytes(self.0))))
    }
}

/// The instances, as one of them sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// The instance itself.
    pub own: MemberId,
    /// The living instances of its region, itself among them.
    pub region_members: Vec<MemberId>,
    /// The living instances of each other region.
    pub other_regions: Vec<Vec<MemberId>>,
    /// All instances that may be serving callers, also those that are not heard: each of them has an
    /// equal part of every quota.
    pub size: usize,
}

impl Fleet {
    /// A fleet of one instance.
    pub fn single(own: MemberId) -> Self {
        Self { own, region_members: vec![own], other_regions: Vec::new(), size: 1 }
    }

    /// The part of every quota that each instance has to give.
    pub(super) fn fraction(&self) -> f64 {
        1.0 / self.size.max(1) as f64
    }
}
