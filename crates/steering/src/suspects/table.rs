//! The requests during which backend servers crashed, and which of them are quarantined.

use super::correlation::CrashTimes;
use super::crash::{Crash, ServerHash, Suspect};
use super::fingerprint::{Fingerprint, Fingerprints};
use super::successes::RecentSuccesses;
use crate::Time;
use crate::placement::Incarnation;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Crashes from which a request is quarantined: a harmless one that is sent twice in an attempt
/// loses at most two servers while one other request crashes servers.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Crashes that another request must have beyond those of this one to explain them: a request that
/// runs beside it by chance soon has fewer, and two that both crash servers seldom differ by as
/// many.
const EXPLAINING_SURPLUS: usize = 2;

/// Crashes that are recorded for one request.
pub const MAX_CRASHES: usize = 16;

/// Fingerprints that are recorded, in 300 kB: those of 25 servers that crash at once with 20
/// requests each.
pub const MAX_SUSPECTS: usize = 1_024;

/// Time after which a request that was not seen again is removed: a faulty caller that retries
/// every minute still finds an instance that has the record, and a request that crashes servers no
/// more is released soon.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Time after which a caller may retry a quarantined request.
pub const RETRY_AFTER: Duration = SUSPECT_TTL;

/// A request that is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedRequest {
    /// The fingerprint that is quarantined.
    pub fingerprint: Fingerprint,
    /// Number of crashes recorded for it, at most [`MAX_CRASHES`].
    pub crashes: usize,
}

/// Changes to the quarantine.
#[derive(Debug, Default, PartialEq)]
pub struct Changes {
    /// Requests that are newly quarantined, and the number of crashes of each.
    pub quarantined: Vec<(Fingerprint, usize)>,
    /// Requests that are quarantined no more.
    pub released: Vec<Fingerprint>,
    /// Whether the other instances should learn of the changes at once.
    pub is_urgent: bool,
}

/// The requests during which backend servers crashed, as far as this instance knows.
#[derive(Debug, Default)]
pub struct Suspects {
    pub(super) by_request: HashMap<Fingerprint, Suspect>,
    quarantined: HashSet<Fingerprint>,
    successes: RecentSuccesses,
}

impl Suspects {
    /// Returns whether no request is recorded, so that none has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns the number of fingerprints that are recorded.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns the quarantined requests, and the number of crashes of each.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.quarantined.iter().filter_map(|request| {
            self.by_request.get(request).map(|suspect| (*request, suspect.crashes.len()))
        })
    }

    /// Records that a backend server crashed while it ran these requests.
    pub fn record_crash(
        &mut self,
        server: &Incarnation,
        requests: &[Fingerprints],
        now: Time,
    ) -> Changes {
        let crash = Crash { server: ServerHash::from(server), detected_at: now };
        let mut is_new = false;
        for request in requests.iter().flat_map(|request| request.all()) {
            let suspect = self.entry(request, now);
            suspect.last_seen_at = now;
            is_new |= suspect.add_crash(crash, MAX_CRASHES, now);
        }
        let mut changes = self.update_quarantine();
        changes.is_urgent = is_new;
        changes
    }

    /// Records that a backend server answered a request, which removes the crashes before.
    pub fn record_success(&mut self, request: Fingerprints, now: Time) -> Changes {
        let mut is_changed = false;
        for request in request.all() {
            self.successes.record(request, now);
            let suspect = self.by_request.get_mut(&request);
            is_changed |= suspect.is_some_and(|suspect| suspect.record_success(now, now));
        }
        if !is_changed {
            return Changes::default();
        }
        let mut changes = self.update_quarantine();
        changes.is_urgent = !changes.released.is_empty();
        changes
    }

    /// Records that a request arrived, or is about to be sent, and returns it if it is quarantined.
    ///
    /// A request that was answered here recently passes: of several servers that fail together,
    /// each may have run a frequent one.
    pub fn check(&mut self, request: Fingerprints, now: Time) -> Option<QuarantinedRequest> {
        let [content, with_caller] = request.all().map(|fingerprint| {
            let suspect = self.by_request.get_mut(&fingerprint)?;
            suspect.last_seen_at = now;
            let is_quarantined = self.quarantined.contains(&fingerprint)
                && !self.successes.contains(fingerprint, now);
            is_quarantined
                .then_some(QuarantinedRequest { fingerprint, crashes: suspect.crashes.len() })
        });
        content.or(with_caller)
    }

    /// Removes requests that were not seen for [`RETRY_AFTER`].
    pub fn prune(&mut self, now: Time) -> Changes {
        let before = self.by_request.len();
        self.by_request.retain(|_, suspect| now.since(suspect.last_seen_at) < SUSPECT_TTL);
        if self.by_request.len() == before { Changes::default() } else { self.update_quarantine() }
    }

    /// Returns the record of a request.
    ///
    /// A new one in a full table replaces the least valuable: quarantined records are kept first,
    /// then those with more crashes, then those changed more recently.
    pub(super) fn entry(&mut self, request: Fingerprint, now: Time) -> &mut Suspect {
        if self.by_request.len() >= MAX_SUSPECTS && !self.by_request.contains_key(&request) {
            let value = |(request, suspect): (&Fingerprint, &Suspect)| {
                (self.quarantined.contains(request), suspect.crashes.len(), suspect.changed_at)
            };
            let least = self.by_request.iter().min_by_key(|record| value(*record));
            if let Some(least) = least.map(|(request, _)| *request) {
                self.by_request.remove(&least);
            }
        }
        self.by_request.entry(request).or_insert_with(|| Suspect::new(now))
    }

    /// Recomputes which requests are quarantined, and returns the changes.
    pub(super) fn update_quarantine(&mut self) -> Changes {
        let crash_times = CrashTimes::new(self.by_request.values());
        let above_threshold = self
            .by_request
            .iter()
            .filter(|(_, suspect)| suspect.crashes.len() >= QUARANTINE_THRESHOLD);
        let quarantined: HashSet<Fingerprint> = above_threshold
            .filter(|(_, suspect)| {
                crash_times.evidence_weight(suspect) >= QUARANTINE_THRESHOLD as f64
            })
            .filter(|(_, suspect)| {
                !crash_times.is_one_failure(suspect) && !self.is_explained(suspect)
            })
            .map(|(request, _)| *request)
            .collect();
        let added = quarantined.difference(&self.quarantined);
        let crash_count =
            |request| self.by_request.get(request).map_or(0, |suspect| suspect.crashes.len());
        let changes = Changes {
            quarantined: added.map(|request| (*request, crash_count(request))).collect(),
            released: self.quarantined.difference(&quarantined).copied().collect(),
            is_urgent: false,
        };
        self.quarantined = quarantined;
        changes
    }

    /// Returns whether another request has all crashes of this one, and [`EXPLAINING_SURPLUS`]
    /// more.
    fn is_explained(&self, suspect: &Suspect) -> bool {
        let required = suspect.crashes.len() + EXPLAINING_SURPLUS;
        let others = self.by_request.values().filter(|other| other.crashes.len() >= required);
        others.into_iter().any(|other| suspect.is_subset_of(other))
    }
}
