//! How many objects the requests of a service concern.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time over which objects are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Most objects that are counted; requests without an object fill the count and no more.
const MOST: usize = 4096;

/// Counts the distinct keys of the present and the last window.
#[derive(Debug, Default)]
pub struct SeenKeys {
    present: HashSet<u64>,
    last: usize,
    began: Option<Instant>,
}

impl SeenKeys {
    /// Counts a key.
    pub fn seen(&mut self, key_hash: u64, now: Instant) {
        let began = *self.began.get_or_insert(now);
        if now.duration_since(began) > WINDOW {
            self.last = self.present.len();
            self.present.clear();
            self.began = Some(now);
        }
        if self.present.len() < MOST {
            self.present.insert(key_hash);
        }
    }

    /// The number of distinct keys.
    pub fn count(&self) -> usize {
        self.last.max(self.present.len())
    }
}
