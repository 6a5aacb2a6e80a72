//! Requests that backend servers answered of late.

use super::fingerprint::Fingerprint;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which an answer shows that a request is sound: many answers of one that is asked for so
/// often that several servers have it when they die together.
const SOUND_FOR: Duration = Duration::from_secs(10);

/// Answers that are remembered, in under 300 kB: two for each answer of ten seconds of a busy instance.
const MOST: usize = 4_096;

/// Requests that backend servers answered of late.
#[derive(Debug, Default)]
pub(super) struct Sound {
    answered_at: HashMap<Fingerprint, Time>,
    order: VecDeque<Fingerprint>,
}

impl Sound {
    /// Remembers an answer, and forgets the oldest if there are too many.
    pub(super) fn answered(&mut self, request: Fingerprint, now: Time) {
        if self.answered_at.insert(request, now).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.answered_at.remove(&oldest);
        }
    }

    /// Tells whether the request was answered a short while ago.
    pub(super) fn holds(&self, request: Fingerprint, now: Time) -> bool {
        let at = self.answered_at.get(&request);
        at.is_some_and(|at| now.since(*at) < SOUND_FOR)
    }
}
