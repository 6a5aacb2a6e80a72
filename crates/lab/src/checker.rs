//! Judging a run: the record of the backend servers, the callers' tally and the journal of what
//! was done, against the configuration's limits.

use crate::record::Visit;
use crate::report::{DrainReport, Invariant, LinkReport, Report, SiteReport};
use crate::tally::Tally;
use crate::testbed::Journal;
use configuration::Configuration;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Length of the window in which a link's requests are counted.
///
/// It is a second less the jitter of arrival that the lab allows for: what arrives within it was
/// sent within a second.
const LINK_WINDOW: Duration = Duration::from_millis(980);

/// How long after a backend server began to leave it may still get new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Longest time from a change to its being in force everywhere, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 6_000;

/// What a run is judged by.
pub(crate) struct Evidence<'a> {
    pub(crate) configuration: &'a Configuration,
    pub(crate) visits: &'a [Visit],
    pub(crate) journal: &'a Journal,
    pub(crate) tally: &'a Tally,
}

/// Service and availability zone of a site.
type Place = (Arc<str>, Arc<str>);

/// Site of each backend server.
type Sites = HashMap<SocketAddr, Place>;

impl Evidence<'_> {
    pub(crate) fn report(&self, experiment: String, seed: u64, duration_s: u64) -> Report {
        let sites = self.sites();
        let links = self.links(&sites);
        let regions = self.regions(&sites);
        let invariants = self.invariants(&links, &regions);
        Report {
            experiment,
            seed,
            duration_s,
            requests: self.tally.requests(),
            writes: self.tally.judge_writes(),
            links,
            regions,
            config: self.journal.config,
            drains: self.drains(),
            latency_ms: self.tally.latencies(),
            invariants,
        }
    }

    fn invariants(
        &self,
        links: &[LinkReport],
        regions: &[SiteReport],
    ) -> BTreeMap<&'static str, Invariant> {
        let requests = self.tally.requests();
        let writes = self.tally.judge_writes();
        let wrong = self.tally.wrong();
        let (told_not_run, run_though_told) = self.tally.judge_not_run();
        let config = self.journal.config;
        let late = self.journal.in_force_ms.iter().filter(|ms| **ms > IN_FORCE_LIMIT_MS).count();
        let never = config.accepted.saturating_sub(self.journal.in_force_ms.len() as u64);
        let arrived = self.visits.len() as u64;
        let over_links = links.iter().map(|link| link.over_cap_windows).sum();
        let over_sites = regions.iter().map(|site| site.over_windows).sum();
        let leaving = self.journal.leaving.len() as u64;
        let stops = self.journal.stops.len() as u64;
        let checks = [
            ("writes_run_at_most_once", writes.keys, writes.run_more_than_once),
            ("not_run_means_not_run", told_not_run, run_though_told),
            ("whole_answers", requests.answered + wrong, wrong),
            ("no_request_lost", requests.sent, requests.lost),
            ("link_caps", arrived, over_links),
            ("region_limits", arrived, over_sites),
            ("leaving_gets_no_new_work", leaving, self.work_while_leaving()),
            ("planned_stop_cuts_nothing", stops, self.cut_by_stops()),
            ("config_in_force_in_time", config.accepted, late as u64 + never),
            ("config_never_reverts", self.journal.versions_seen, config.reverts),
        ];
        checks
            .into_iter()
            .map(|(name, checked, violations)| (name, Invariant { checked, violations }))
            .collect()
    }

    fn sites(&self) -> Sites {
        let zones = &self.configuration.availability_zones;
        let mut sites = Sites::new();
        for service in &self.configuration.services {
            for site in &service.sites {
                let zone = &zones[site.availability_zone.get()].name;
                let place = (service.name.clone(), zone.clone());
                let addresses = site.backend_servers.iter().map(|server| server.address);
                sites.extend(addresses.map(|address| (address, place.clone())));
            }
        }
        sites
    }

    fn links(&self, sites: &Sites) -> Vec<LinkReport> {
        let mut arrivals: BTreeMap<(Arc<str>, Arc<str>), Vec<Instant>> = BTreeMap::new();
        for visit in self.visits {
            if let (Some(from), Some((_, to))) = (&visit.from, sites.get(&visit.server)) {
                arrivals.entry((from.clone(), to.clone())).or_default().push(visit.arrived);
            }
        }
        arrivals
            .into_iter()
            .filter_map(|((from, to), arrivals)| {
                let zone = |name: &str| self.configuration.zone(name);
                let link = self.configuration.link(zone(&from)?, zone(&to)?);
                let cap_per_s = self.configuration.links[link.get()].cap_requests_per_s;
                let (peak_per_s, over_cap_windows) = peak(arrivals, cap_per_s);
                Some(LinkReport { from, to, cap_per_s, peak_per_s, over_cap_windows })
            })
            .collect()
    }

    fn regions(&self, sites: &Sites) -> Vec<SiteReport> {
        let mut changes: HashMap<Place, Vec<(Instant, i32)>> = HashMap::new();
        for visit in self.visits {
            let Some(place) = sites.get(&visit.server) else { continue };
            let changes = changes.entry(place.clone()).or_default();
            changes.extend([(visit.arrived, 1), (visit.ended, -1)]);
        }
        let zones = &self.configuration.availability_zones;
        let mut reports = Vec::new();
        for service in &self.configuration.services {
            for site in &service.sites {
                let zone = &zones[site.availability_zone.get()].name;
                let place = (service.name.clone(), zone.clone());
                let Some(changes) = changes.remove(&place) else { continue };
                let (peak_in_use, over_windows) = fullest(changes, site.capacity_slots);
                reports.push(SiteReport {
                    service: place.0,
                    availability_zone: place.1,
                    capacity_slots: site.capacity_slots,
                    peak_in_use,
                    over_windows,
                });
            }
        }
        reports
    }

    /// Counts the requests that arrived at a backend server long after it began to leave.
    fn work_while_leaving(&self) -> u64 {
        let late = |visit: &&Visit| {
            self.journal.leaving.iter().any(|leaving| {
                leaving.server == visit.server
                    && visit.arrived > leaving.began + LEAVING_LIMIT
                    && visit.arrived < leaving.ended
            })
        };
        self.visits.iter().filter(late).count() as u64
    }

    /// Counts the requests that broke at an instance while it stopped as planned.
    fn cut_by_stops(&self) -> u64 {
        let cut = |broken: &&crate::tally::Broken| {
            self.journal.stops.iter().any(|stop| {
                stop.address == broken.instance
                    && broken.ended >= stop.began
                    && broken.began <= stop.ended
            })
        };
        self.tally.all_broken().iter().filter(cut).count() as u64
    }

    fn drains(&self) -> Vec<DrainReport> {
        self.journal
            .stops
            .iter()
            .map(|stop| DrainReport {
                instance: stop.instance.clone(),
                drain_ms: (stop.ended - stop.began).as_millis() as u64,
            })
            .collect()
    }
}

/// Returns the most arrivals in a window, and the number of windows with more than `cap`; a
/// window begins with each arrival.
fn peak(mut arrivals: Vec<Instant>, cap: u64) -> (u64, u64) {
    arrivals.sort_unstable();
    let counts = arrivals.iter().enumerate().map(|(first, arrival)| {
        let after = arrivals.partition_point(|other| *other < *arrival + LINK_WINDOW);
        (after - first) as u64
    });
    counts.fold((0, 0), |(peak, over), count| (peak.max(count), over + u64::from(count > cap)))
}

/// Returns the most requests present at once, and the number of seconds with more than `limit`.
fn fullest(mut changes: Vec<(Instant, i32)>, limit: u32) -> (u32, u64) {
    // Ends come before arrivals of the same moment.
    changes.sort_unstable();
    let Some((start, _)) = changes.first().copied() else { return (0, 0) };
    let mut present = 0;
    let mut most = 0;
    let mut over = HashSet::new();
    for (at, change) in changes {
        present += change;
        most = most.max(present);
        if present > limit as i32 {
            over.insert((at - start).as_secs());
        }
    }
    (most as u32, over.len() as u64)
}
