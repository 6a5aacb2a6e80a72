//! How an instance divides the requests of a service between versions now.

use crate::placement::rank::key_position;
use std::sync::Arc;

/// Salt of the place of an object between versions.
const VERSION_SALT: u64 = 0x7665_7273_696f;

/// What a version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// A share of the requests, at few of its backend servers, so that these are as busy as those of
    /// other versions; requests of no other object.
    Trial(f64),
    /// A share of the requests, and what other versions have no room for.
    Spreading(f64),
    /// All requests; other versions get some only while none of its backend servers may be used.
    All,
    /// Nothing.
    Nothing,
}

/// How the requests of a service are divided between a version and all others.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRule {
    /// The version.
    pub target: Arc<str>,
    /// What it may get.
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

    /// Tells whether an object belongs to the version; one that does so goes on doing so while the
    /// share grows.
    pub fn is_for_target(&self, key_hash: u64) -> bool {
        key_position(key_hash, VERSION_SALT) < self.share()
    }

    /// Which versions may run the requests of an object, first choice first: true stands for the
    /// version itself.
    pub fn order(&self, key_hash: u64) -> &'static [bool] {
        match (self.reach, self.is_for_target(key_hash)) {
            (_, true) => &[true, false],
            (Reach::Spreading(_), false) => &[false, true],
            (Reach::Trial(_) | Reach::Nothing | Reach::All, false) => &[false],
        }
    }
}
