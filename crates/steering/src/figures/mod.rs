//! Load and latency figures of each site, with their age.
//!
//! An instance counts its own requests exactly and learns of those of other instances from their
//! reports. Own observations take precedence over reports, and headroom derived from reports decays
//! to a floor as they age.

mod own;
mod report;
mod site;

pub use own::ExchangeEnd;
pub use report::SiteReport;
pub use site::{AgedHeadroom, SiteFigures, decayed_headroom};

use crate::Time;
use own::OwnSite;
use report::Reports;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a site by names, which stay valid across configuration versions.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SiteName {
    /// Name of the service.
    pub service: Arc<str>,
    /// Availability zone of the site.
    pub availability_zone: Arc<str>,
}

/// Configured capacity of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteCapacity {
    /// Slots that may be used in total.
    pub capacity_slots: f64,
    /// Slots that this availability zone may assume without reports from the others.
    pub floor_slots: f64,
    /// Round-trip time to the site, in milliseconds, used as its latency until one is known.
    pub round_trip_ms: f64,
}

/// Figures of all sites, as known to one instance.
#[derive(Debug, Default)]
pub struct Figures {
    own: HashMap<SiteName, OwnSite>,
    reports: Reports,
}

impl Figures {
    /// Records the start of an exchange with a backend server of the site.
    pub fn record_start(&mut self, site: &SiteName) {
        self.own_site(site).record_start();
    }

    /// Records the end of an exchange with a backend server of the site; it counts as in flight
    /// until [`Figures::record_release`].
    pub fn record_end(&mut self, site: &SiteName, end: ExchangeEnd, now: Time) {
        self.own_site(site).record_end(end, now);
    }

    /// Records that an exchange has released its slot at the site.
    pub fn record_release(&mut self, site: &SiteName) {
        self.own_site(site).record_release();
    }

    /// Sets how many slots of the site this instance may use.
    pub fn set_granted(&mut self, site: &SiteName, slots: u32) {
        self.own_site(site).granted_slots = slots;
    }

    /// Sets how many slots this instance may use at each site; zero at sites that aren't listed.
    pub fn set_all_granted(&mut self, granted: &[(SiteName, u32)]) {
        self.own.values_mut().for_each(|own| own.granted_slots = 0);
        granted.iter().for_each(|(site, slots)| self.set_granted(site, *slots));
    }

    /// Stores what another instance reported `age` ago, unless a newer report by it is known.
    pub fn merge_report(
        &mut self,
        from: &Arc<str>,
        sites: Vec<SiteReport>,
        age: Duration,
        now: Time,
    ) {
        self.reports.merge(from, sites, age, now);
    }

    /// Returns whether any report is known.
    pub fn has_reports(&self) -> bool {
        self.reports.has_any()
    }

    /// Drops reports that are too old to use.
    pub fn remove_expired(&mut self, now: Time) {
        self.reports.remove_expired(now);
    }

    /// Returns this instance's own report: the sites where it has requests in flight, slots or
    /// response times.
    pub fn own_report(&self, now: Time) -> Vec<SiteReport> {
        let mut sites: Vec<SiteReport> =
            self.own.iter().filter_map(|(site, own)| own.report(site, now)).collect();
        sites.sort_by(|a, b| a.site.cmp(&b.site));
        sites
    }

    /// Returns the figures of a site; `others` is the number of other instances that could report.
    pub fn site_figures(
        &self,
        site: &SiteName,
        capacity: SiteCapacity,
        others: usize,
        now: Time,
    ) -> SiteFigures {
        site::combine(self.own.get(site), &self.reports, site, capacity, others, now)
    }

    fn own_site(&mut self, site: &SiteName) -> &mut OwnSite {
        if !self.own.contains_key(site) {
            self.own.insert(site.clone(), OwnSite::default());
        }
        self.own.entry(site.clone()).or_default()
    }
}
