//! What other instances report.

use super::SiteName;
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Age from which a report is forgotten.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// One instance's figures for one site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteReport {
    /// The site.
    pub site: SiteName,
    /// The instance's requests in flight there.
    pub in_flight: u32,
    /// Slots that it may use there.
    pub granted_slots: u32,
    /// Median time to an answer's head less the round trip, in microseconds; `None` for unknown.
    pub answer_time_us: Option<u32>,
    /// Part of its exchanges that failed, from 0 to 1.
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
    pub(super) fn absorb(
        &mut self,
        from: &Arc<str>,
        sites: Vec<SiteReport>,
        age: Duration,
        now: Time,
    ) {
        let made_at = now - age;
        if self.instances.get(from).is_some_and(|known| known.made_at > made_at) {
            return;
        }
        let sites = sites.into_iter().map(|report| (report.site.clone(), report)).collect();
        self.instances.insert(from.clone(), InstanceReport { made_at, sites });
    }

    pub(super) fn any(&self) -> bool {
        !self.instances.is_empty()
    }

    pub(super) fn forget_old(&mut self, now: Time) {
        self.instances.retain(|_, report| now.since(report.made_at) < FORGET_AFTER);
    }

    /// Returns for each instance with a report the report's age and what it says of the site.
    pub(super) fn of_site<'a>(
        &'a self,
        site: &'a SiteName,
        now: Time,
    ) -> impl Iterator<Item = (Duration, Option<&'a SiteReport>)> + 'a {
        self.instances
            .values()
            .map(move |report| (now.since(report.made_at), report.sites.get(site)))
            .filter(|(age, _)| *age < FORGET_AFTER)
    }
}
