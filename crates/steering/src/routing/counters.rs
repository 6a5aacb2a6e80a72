//! Counts of the sites that requests chose, kept across all tables of one configuration version.

use configuration::{Configuration, ServiceIndex, SiteIndex};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of one service and arm.
#[derive(Debug)]
pub struct FlowCounters {
    chosen: Box<[AtomicU64]>,
    unplaced: AtomicU64,
}

/// A snapshot of the counters.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FlowCounts {
    /// Requests that chose each site first, by the site's index.
    pub chosen: Vec<u64>,
    /// Requests that no site could take.
    pub unplaced: u64,
}

/// Counts of every service and arm.
#[derive(Clone, Debug)]
pub struct Counters {
    flows: Vec<Vec<Arc<FlowCounters>>>,
}

impl FlowCounters {
    fn new(sites: usize) -> Self {
        let chosen = (0..sites).map(|_| AtomicU64::new(0)).collect();
        Self { chosen, unplaced: AtomicU64::new(0) }
    }

    /// Counts a request by the site that it tries first.
    pub fn count(&self, site: Option<SiteIndex>) {
        let counter = site.and_then(|site| self.chosen.get(site.get())).unwrap_or(&self.unplaced);
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> FlowCounts {
        FlowCounts {
            chosen: self.chosen.iter().map(|count| count.load(Ordering::Relaxed)).collect(),
            unplaced: self.unplaced.load(Ordering::Relaxed),
        }
    }
}

impl FlowCounts {
    /// Returns the total number of requests.
    pub fn total(&self) -> u64 {
        self.chosen.iter().sum::<u64>() + self.unplaced
    }
}

impl Counters {
    /// Creates the counters of a version with `arms` arms, all 0.
    pub fn new(configuration: &Configuration, arms: usize) -> Self {
        let flows = configuration
            .services
            .iter()
            .map(|service| {
                (0..arms).map(|_| Arc::new(FlowCounters::new(service.sites.len()))).collect()
            })
            .collect();
        Self { flows }
    }

    /// Returns the counters of a service and arm.
    pub fn flow(&self, service: ServiceIndex, arm: usize) -> Option<&Arc<FlowCounters>> {
        self.flows.get(service.get())?.get(arm)
    }
}
