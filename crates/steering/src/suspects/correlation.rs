//! Crashes that coincide with those of other backend servers.

use super::crash::{ServerHash, Suspect};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Largest distance between correlated crashes.
///
/// A power or network failure takes down the servers of an availability zone within 0.1 s, and each
/// crash is detected by one more connection, a round trip of at most 0.11 s later.  Each hop of a
/// report makes the crash seem later.  With twice the time, unrelated crashes 0.6 s apart seemed
/// correlated, and 85 instances took 3.3 s to agree.
const CORRELATION_WINDOW: Duration = Duration::from_millis(250);

/// Weight of a crash that coincides with the crash of a server which did not run the request; other
/// crashes weigh 1.
///
/// A harmless request that is retried at once loses a server in each of several failures within
/// seconds, while a request that crashes servers alongside another such request has as many crashes
/// within one second.
const CORRELATED_WEIGHT: f64 = 0.5;

/// Times of the crashes by server.
pub(super) struct CrashTimes {
    first_detected_at: HashMap<ServerHash, Time>,
}

impl CrashTimes {
    /// Collects the crashes recorded for any of the requests.
    pub(super) fn new<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> Self {
        let mut first_detected_at = HashMap::new();
        for crash in suspects.flat_map(|suspect| &suspect.crashes) {
            let first = first_detected_at.entry(crash.server).or_insert(crash.detected_at);
            *first = crash.detected_at.min(*first);
        }
        Self { first_detected_at }
    }

    /// Returns the weight of the crashes of a request as evidence against it.
    pub(super) fn evidence_weight(&self, suspect: &Suspect) -> f64 {
        let weight_at = |at: Time| match self.others_crashed(suspect, at, at) {
            true => CORRELATED_WEIGHT,
            false => 1.0,
        };
        suspect.crashes.iter().map(|crash| weight_at(crash.detected_at)).sum()
    }

    /// Returns whether all crashes of the request are one failure that also took down servers which
    /// did not run it.
    pub(super) fn is_one_failure(&self, suspect: &Suspect) -> bool {
        let Some((first, last)) = suspect.crash_span() else { return false };
        last.since(first) <= CORRELATION_WINDOW && self.others_crashed(suspect, first, last)
    }

    /// Returns whether a server that did not run the request crashed within [`CORRELATION_WINDOW`]
    /// of the time from `first` to `last`.
    fn others_crashed(&self, suspect: &Suspect, first: Time, last: Time) -> bool {
        let coincides =
            |at: Time| first <= at + CORRELATION_WINDOW && at <= last + CORRELATION_WINDOW;
        self.first_detected_at
            .iter()
            .any(|(server, at)| coincides(*at) && !suspect.has_crash_of(*server))
    }
}
