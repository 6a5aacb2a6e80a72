//! Count of the distinct objects in the requests for a service.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Window over which keys are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Most keys that are counted, to bound memory; requests without an object have a key each.
const MAX_KEYS: usize = 4096;

/// Requests per distinct key that a reliable count needs: with fewer, most keys have not come up
/// yet.
const MIN_REQUESTS_PER_KEY: usize = 3;

/// Counts the distinct keys of the current and the previous window.
#[derive(Debug, Default)]
pub struct DistinctKeys {
    current: HashSet<u64>,
    requests: usize,
    previous: Option<usize>,
    started_at: Option<Instant>,
}

impl DistinctKeys {
    /// Records the key of a request.
    pub fn record(&mut self, key_hash: u64, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.duration_since(started_at) > WINDOW {
            self.previous = self.count();
            self.current.clear();
            self.requests = 0;
            self.started_at = Some(now);
        }
        self.requests += 1;
        if self.current.len() < MAX_KEYS {
            self.current.insert(key_hash);
        }
    }

    /// Returns the number of distinct keys, once there were enough requests.
    pub fn count(&self) -> Option<usize> {
        let current = self.current.len();
        let enough = current > 0 && self.requests >= current * MIN_REQUESTS_PER_KEY;
        self.previous.max(enough.then_some(current))
    }
}
