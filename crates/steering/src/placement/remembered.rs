//! Instances that have not been heard for long, and may still serve callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which an instance is remembered after its last heartbeat: twice as long as regions lose
/// each other.
pub const REMEMBERED_FOR: Duration = Duration::from_secs(2 * 60 * 60);

/// Instances that have not been heard for long, by the hash of the name, with the time of the last
/// heartbeat.
#[derive(Debug, Default)]
pub(super) struct Remembered(BTreeMap<u64, Instant>);

impl Remembered {
    /// Adds an instance.
    pub(super) fn add(&mut self, name_hash: u64, heard_at: Instant) {
        self.0.insert(name_hash, heard_at);
    }

    /// Removes an instance that is heard again.
    pub(super) fn remove(&mut self, name_hash: u64) {
        self.0.remove(&name_hash);
    }

    /// Forgets instances that have not been heard for too long.
    pub(super) fn prune(&mut self, now: Instant) {
        self.0.retain(|_, heard_at| now.duration_since(*heard_at) < REMEMBERED_FOR);
    }

    /// Number of instances.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
