//! How many objects the requests of a service concern.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time over which objects are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Most objects that are counted; requests without an object fill the count and no more.
const MOST: usize = 4096;

/// Requests for each distinct key from which on the count is believed: before, most keys have not
/// come yet.
const REQUESTS_PER_KEY: usize = 3;

/// Counts the distinct keys of the present and the last window.
#[derive(Debug, Default)]
pub struct DistinctKeys {
    present: HashSet<u64>,
    requests: usize,
    last: Option<usize>,
    began: Option<Instant>,
}

impl DistinctKeys {
    /// Counts a key.
    pub fn record(&mut self, key_hash: u64, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now.duration_since(began) > WINDOW {
            self.last = self.count();
            self.present.clear();
            self.requests = 0;
            self.began = Some(now);
        }
        self.requests += 1;
        if self.present.len() < MOST {
            self.present.insert(key_hash);
        }
    }

    /// The number of distinct keys, once enough requests were seen to tell.
    pub fn count(&self) -> Option<usize> {
        let present = self.present.len();
        let enough = present > 0 && self.requests >= present * REQUESTS_PER_KEY;
        self.last.max(enough.then_some(present))
    }
}
