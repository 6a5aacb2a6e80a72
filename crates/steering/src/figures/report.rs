//! Reports of other instances.

use super::SiteName;
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Age from which a report is dropped.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// One instance's figures for one site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteReport {
    /// Name of the site.
    pub site: SiteName,
    /// Requests of the instance in flight at the site.
    pub in_flight: u32,
    /// Slots that the instance may use at the site.
    pub granted_slots: u32,
    /// Median time to the response head less the round trip, in microseconds; `None` if unknown.
    pub response_time_us: Option<u32>,
    /// Fraction of the instance's exchanges that failed, from 0 to 1.
    pub failed_share: f64,
}

/// The newest report of each instance.
#[derive(Debug, Default)]
pub(super) struct Reports {
    instances: HashMap<Arc<str>, InstanceReport>,
}

#[derive(Debug)]
struct InstanceReport {
    made_at: Time,
    sites: HashMap<SiteName, SiteReport>,
}

impl Reports {
    pub(super) fn merge(
        &mut self,
        from: &Arc<str>,
        sites: Vec<SiteReport>,
        age: Duration,
        now: Time,
    ) {
        let made_at = now - age;
        if self.instances.get(from).is_some_and(|previous| previous.made_at > made_at) {
            return;
        }
        let sites = sites.into_iter().map(|report| (report.site.clone(), report)).collect();
        self.instances.insert(from.clone(), InstanceReport { made_at, sites });
    }

    pub(super) fn has_any(&self) -> bool {
        !self.instances.is_empty()
    }

    pub(super) fn remove_expired(&mut self, now: Time) {
        self.instances.retain(|_, report| now.since(report.made_at) < MAX_REPORT_AGE);
    }

    /// Returns the age of each instance's report, and its entry for the site if it has one.
    pub(super) fn site_reports<'a>(
        &'a self,
        site: &'a SiteName,
        now: Time,
    ) -> impl Iterator<Item = (Duration, Option<&'a SiteReport>)> + 'a {
        self.instances
            .values()
            .map(move |report| (now.since(report.made_at), report.sites.get(site)))
            .filter(|(age, _)| *age < MAX_REPORT_AGE)
    }
}
