//! Reachability of the other availability zones.

use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time of failed calls without a success after which an availability zone counts as partitioned.
const PARTITIONED_AFTER: Duration = Duration::from_millis(1_500);

/// Time for which another instance's report, or an own successful call, is valid.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Contact with the other availability zones and reports about them.
#[derive(Clone, Debug, Default)]
pub(super) struct Zones {
    contacts: BTreeMap<Arc<str>, Contact>,
    reports: BTreeMap<Arc<str>, Report>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    last_success_at: Option<Time>,
    failing_since: Option<Time>,
}

/// Availability zones that another instance of the own availability zone can't reach.
#[derive(Clone, Debug)]
struct Report {
    at: Time,
    unreachable: Vec<Arc<str>>,
}

impl Zones {
    /// Records a successful call; returns whether the availability zone was partitioned before.
    pub(super) fn record_success(&mut self, now: Time, zone: &Arc<str>) -> bool {
        let was_partitioned = self.is_partitioned(now, zone);
        let contact = self.contacts.entry(zone.clone()).or_default();
        *contact = Contact { last_success_at: Some(now), failing_since: None };
        was_partitioned
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, now: Time, zone: &Arc<str>) {
        self.contacts.entry(zone.clone()).or_default().failing_since.get_or_insert(now);
    }

    /// Records the report of another instance of the own availability zone, replacing its last one.
    pub(super) fn record_report(
        &mut self,
        now: Time,
        reporter: Arc<str>,
        unreachable: Vec<Arc<str>>,
    ) {
        if unreachable.is_empty() {
            self.reports.remove(&reporter);
        } else {
            self.reports.insert(reporter, Report { at: now, unreachable });
        }
    }

    /// Drops expired reports.
    pub(super) fn expire(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_TTL);
    }

    /// Returns whether an availability zone counts as partitioned: local calls to it fail or,
    /// without a recent success, another instance reports it as unreachable.
    pub(super) fn is_partitioned(&self, now: Time, zone: &str) -> bool {
        if self.is_unreachable(now, zone) {
            return true;
        }
        let last_success_at = self.contacts.get(zone).and_then(|contact| contact.last_success_at);
        if last_success_at.is_some_and(|at| now.since(at) < REPORT_TTL) {
            return false;
        }
        self.reports.values().any(|report| {
            let recent = now.since(report.at) < REPORT_TTL;
            recent && report.unreachable.iter().any(|unreachable| **unreachable == *zone)
        })
    }

    /// Returns the availability zones that local calls can't reach.
    pub(super) fn unreachable(&self, now: Time) -> Vec<Arc<str>> {
        self.contacts.keys().filter(|zone| self.is_unreachable(now, zone)).cloned().collect()
    }

    fn is_unreachable(&self, now: Time, zone: &str) -> bool {
        let failing_since = self.contacts.get(zone).and_then(|contact| contact.failing_since);
        failing_since.is_some_and(|since| now.since(since) >= PARTITIONED_AFTER)
    }
}
