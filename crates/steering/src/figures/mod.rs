//! What is known of each site, with the age of each figure.
//!
//! An instance counts its own work exactly; of the work of others it knows what they report.  Own
//! observation goes before reports, and what rests on reports decays to the floor as they age.

mod own;
mod report;
mod site;

pub use own::ExchangeEnd;
pub use report::SiteReport;
pub use site::{HeadroomAt, SiteFigures, decayed_headroom};

use crate::Time;
use own::OwnSite;
use report::Reports;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A site by name, as it outlives configuration versions.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SiteName {
    /// The service.
    pub service: Arc<str>,
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
}

/// What a site offers, as the configuration says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteCapacity {
    /// Slots that steering may fill.
    pub capacity_slots: f64,
    /// Slots that this availability zone counts on when nothing is known of the others.
    pub floor_slots: f64,
    /// Round trip to the site, in milliseconds: its latency while nothing is known.
    pub round_trip_ms: f64,
}

/// All figures of one instance.
#[derive(Debug, Default)]
pub struct Figures {
    own: HashMap<SiteName, OwnSite>,
    reports: Reports,
}

impl Figures {
    /// Records that an exchange with a backend server of the site begins.
    pub fn started(&mut self, site: &SiteName) {
        self.own_site(site).started();
    }

    /// Records how an exchange with a backend server of the site ended; it stays in flight until
    /// [`Figures::released`].
    pub fn ended(&mut self, site: &SiteName, end: ExchangeEnd, now: Time) {
        self.own_site(site).ended(end, now);
    }

    /// Records that an exchange no longer holds a slot of the site.
    pub fn released(&mut self, site: &SiteName) {
        self.own_site(site).released();
    }

    /// Records how many slots of the site this instance may use.
    pub fn set_granted(&mut self, site: &SiteName, slots: u32) {
        self.own_site(site).granted_slots = slots;
    }

    /// Records how many slots this instance may use: none of the sites that are not named.
    pub fn set_all_granted(&mut self, granted: &[(SiteName, u32)]) {
        self.own.values_mut().for_each(|own| own.granted_slots = 0);
        granted.iter().for_each(|(site, slots)| self.set_granted(site, *slots));
    }

    /// Takes over what another instance reported `age` ago, unless newer news of it is known.
    pub fn absorb(&mut self, from: &Arc<str>, sites: Vec<SiteReport>, age: Duration, now: Time) {
        self.reports.absorb(from, sites, age, now);
    }

    /// Tells whether any report is known.
    pub fn has_reports(&self) -> bool {
        self.reports.any()
    }

    /// Forgets reports that are too old to say anything.
    pub fn forget_old(&mut self, now: Time) {
        self.reports.forget_old(now);
    }

    /// Returns what this instance tells others: the sites where it has work, slots or news.
    pub fn own_sites(&self, now: Time) -> Vec<SiteReport> {
        let mut sites: Vec<SiteReport> =
            self.own.iter().filter_map(|(site, own)| own.report(site, now)).collect();
        sites.sort_by(|a, b| a.site.cmp(&b.site));
        sites
    }

    /// Returns what is known of a site, given how many other instances could report.
    pub fn site(
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
