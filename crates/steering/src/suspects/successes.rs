//! Requests that backend servers answered recently.

use super::fingerprint::Fingerprint;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which a response shows that a request is harmless: a request that is so frequent that
/// several servers run it when they fail together has many responses in this time.
const SUCCESS_TTL: Duration = Duration::from_secs(10);

/// Fingerprints that are kept, in less than 300 kB: two for each response of a busy instance within
/// ten seconds.
const MAX_FINGERPRINTS: usize = 4_096;

/// Requests that backend servers answered recently.
#[derive(Debug, Default)]
pub(super) struct RecentSuccesses {
    answered_at: HashMap<Fingerprint, Time>,
    order: VecDeque<Fingerprint>,
}

impl RecentSuccesses {
    /// Records a response, and removes the fingerprint that was added first if there are too many.
    pub(super) fn record(&mut self, request: Fingerprint, now: Time) {
        if self.answered_at.insert(request, now).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > MAX_FINGERPRINTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answered_at.remove(&oldest);
        }
    }

    /// Returns whether the request was answered within [`SUCCESS_TTL`].
    pub(super) fn contains(&self, request: Fingerprint, now: Time) -> bool {
        let at = self.answered_at.get(&request);
        at.is_some_and(|at| now.since(*at) < SUCCESS_TTL)
    }
}
