//! How an instance splits the requests of a service between versions.

use crate::placement::rank::key_position;
use std::sync::Arc;

/// Hash salt that assigns objects to versions.
const VERSION_SALT: u64 = 0x7665_7273_696f;

/// The requests that a version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// A share of the requests, sent to few of its backend servers, so that these are as busy as
    /// those of other versions; no requests of other objects.
    Trial(f64),
    /// A share of the requests, and those for which other versions have no capacity.
    Spreading(f64),
    /// All requests; other versions get some only while none of its backend servers may be used.
    All,
    /// No requests.
    Nothing,
}

/// How the requests of a service are split between a version and all others.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRule {
    /// The version.
    pub target: Arc<str>,
    /// The requests that it may get.
    pub reach: Reach,
}

impl VersionRule {
    /// The share of the requests that the version gets.
    pub fn share(&self) -> f64 {
        match self.reach {
            Reach::Trial(share) | Reach::Spreading(share) => share,
            Reach::All => 1.0,
            Reach::Nothing => 0.0,
        }
    }

    /// Returns whether an object is assigned to the version. An assigned object stays assigned
    /// while the share grows.
    pub fn is_for_target(&self, key_hash: u64) -> bool {
        key_position(key_hash, VERSION_SALT) < self.share()
    }

    /// The versions that may run the requests of an object, in order of preference; true stands for
    /// the version itself.
    pub fn order(&self, key_hash: u64) -> &'static [bool] {
        match (self.reach, self.is_for_target(key_hash)) {
            (_, true) => &[true, false],
            (Reach::Spreading(_), false) => &[false, true],
            (Reach::Trial(_) | Reach::Nothing | Reach::All, false) => &[false],
        }
    }
}
