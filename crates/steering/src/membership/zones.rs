//! Which other availability zones can be reached from here.

use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time without any call that succeeds after which an availability zone counts as cut off.
const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which another instance's word on an availability zone counts.
const REPORT_LASTS: Duration = Duration::from_secs(5);

/// Contact with the other availability zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Zones {
    contacts: BTreeMap<Arc<str>, Contact>,
    reports: BTreeMap<Arc<str>, Report>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    reached_at: Option<Time>,
    failing_since: Option<Time>,
}

/// The availability zones that another instance of our own one can't reach.
#[derive(Clone, Debug)]
struct Report {
    at: Time,
    unreachable: Vec<Arc<str>>,
}

impl Zones {
    /// Takes note of a call that succeeded; returns whether the availability zone was cut off.
    pub(super) fn reached(&mut self, now: Time, zone: &Arc<str>) -> bool {
        let was_lost = self.is_lost(now, zone);
        let contact = self.contacts.entry(zone.clone()).or_default();
        *contact = Contact { reached_at: Some(now), failing_since: None };
        was_lost
    }

    /// Takes note of a call that failed.
    pub(super) fn failed(&mut self, now: Time, zone: &Arc<str>) {
        self.contacts.entry(zone.clone()).or_default().failing_since.get_or_insert(now);
    }

    /// Takes what another instance of our own availability zone says, in place of what it said.
    pub(super) fn report(&mut self, now: Time, reporter: Arc<str>, unreachable: Vec<Arc<str>>) {
        if unreachable.is_empty() {
            self.reports.remove(&reporter);
        } else {
            self.reports.insert(reporter, Report { at: now, unreachable });
        }
    }

    /// Forgets what was said too long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_LASTS);
    }

    /// Tells whether an availability zone counts as cut off.
    pub(super) fn is_lost(&self, now: Time, zone: &str) -> bool {
        if self.is_unreachable(now, zone) {
            return true;
        }
        let reached_at = self.contacts.get(zone).and_then(|contact| contact.reached_at);
        if reached_at.is_some_and(|at| now.since(at) < REPORT_LASTS) {
            return false;
        }
        self.reports.values().any(|report| {
            let fresh = now.since(report.at) < REPORT_LASTS;
            fresh && report.unreachable.iter().any(|unreachable| **unreachable == *zone)
        })
    }

    /// Returns the availability zones that our own calls can't reach.
    pub(super) fn unreachable(&self, now: Time) -> Vec<Arc<str>> {
        self.contacts.keys().filter(|zone| self.is_unreachable(now, zone)).cloned().collect()
    }

    fn is_unreachable(&self, now: Time, zone: &str) -> bool {
        let failing_since = self.contacts.get(zone).and_then(|contact| contact.failing_since);
        failing_since.is_some_and(|since| now.since(since) >= LOST_AFTER)
    }
}
