//! Checks a run against the limits of its configuration, from the record of the backend servers,
//! the callers' tally and the event log, and builds the report.

use crate::record::ReceivedRequest;
use crate::report::{DrainReport, Invariant, LinkReport, Report, SiteReport};
use crate::tally::Tally;
use crate::testbed::EventLog;
use configuration::Configuration;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Length of the window in which a link's requests are counted.
///
/// It is one second less the arrival jitter that the lab tolerates: requests that arrive within it
/// were sent within one second.
const LINK_WINDOW: Duration = Duration::from_millis(980);

/// Time after the start of its drain in which a backend server may still receive new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Maximum time from sending a change to its activation on all instances, in milliseconds.
const ACTIVATION_LIMIT_MS: u64 = 6_000;

/// The data of a run that the checks use.
pub(crate) struct RunHistory<'a> {
    pub(crate) configuration: &'a Configuration,
    pub(crate) received_requests: &'a [ReceivedRequest],
    pub(crate) event_log: &'a EventLog,
    pub(crate) tally: &'a Tally,
}

/// Service and availability zone of a site.
type SiteKey = (Arc<str>, Arc<str>);

/// Site of each backend server.
type Sites = HashMap<SocketAddr, SiteKey>;

impl RunHistory<'_> {
    pub(crate) fn report(&self, experiment: String, seed: u64, duration_s: u64) -> Report {
        let sites = self.sites();
        let links = self.link_reports(&sites);
        let regions = self.site_reports(&sites);
        let invariants = self.check_invariants(&links, &regions);
        Report {
            experiment,
            seed,
            duration_s,
            requests: self.tally.request_counts(),
            writes: self.tally.write_counts(),
            links,
            regions,
            config: self.event_log.config,
            drains: self.drain_reports(),
            latency_ms: self.tally.latencies(),
            invariants,
        }
    }

    fn check_invariants(
        &self,
        links: &[LinkReport],
        regions: &[SiteReport],
    ) -> BTreeMap<&'static str, Invariant> {
        let request_counts = self.tally.request_counts();
        let writes = self.tally.write_counts();
        let wrong_responses = self.tally.wrong_responses();
        let (reported_not_run, ran_anyway) = self.tally.not_run_counts();
        let config = self.event_log.config;
        let late =
            self.event_log.activation_ms.iter().filter(|ms| **ms > ACTIVATION_LIMIT_MS).count();
        let not_activated =
            config.accepted.saturating_sub(self.event_log.activation_ms.len() as u64);
        let arrived = self.received_requests.len() as u64;
        let link_violations = links.iter().map(|link| link.over_cap_windows).sum();
        let site_violations = regions.iter().map(|site| site.over_windows).sum();
        let drain_periods = self.event_log.drain_periods.len() as u64;
        let stops = self.event_log.stops.len() as u64;
        let checks = [
            ("writes_run_at_most_once", writes.keys, writes.run_more_than_once),
            ("not_run_means_not_run", reported_not_run, ran_anyway),
            ("whole_answers", request_counts.answered + wrong_responses, wrong_responses),
            ("no_request_lost", request_counts.sent, request_counts.lost),
            ("link_caps", arrived, link_violations),
            ("region_limits", arrived, site_violations),
            ("leaving_gets_no_new_work", drain_periods, self.requests_while_draining()),
            ("planned_stop_cuts_nothing", stops, self.attempts_broken_by_stops()),
            ("config_in_force_in_time", config.accepted, late as u64 + not_activated),
            ("config_never_reverts", self.event_log.observed_version_changes, config.reverts),
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
                let site_key = (service.name.clone(), zone.clone());
                let addresses = site.backend_servers.iter().map(|server| server.address);
                sites.extend(addresses.map(|address| (address, site_key.clone())));
            }
        }
        sites
    }

    fn link_reports(&self, sites: &Sites) -> Vec<LinkReport> {
        let mut arrivals: BTreeMap<(Arc<str>, Arc<str>), Vec<Instant>> = BTreeMap::new();
        for request in self.received_requests {
            if let (Some(from), Some((_, to))) = (&request.source_zone, sites.get(&request.server))
            {
                arrivals.entry((from.clone(), to.clone())).or_default().push(request.arrived);
            }
        }
        arrivals
            .into_iter()
            .filter_map(|((from, to), arrivals)| {
                let zone = |name: &str| self.configuration.zone(name);
                let link = self.configuration.link(zone(&from)?, zone(&to)?);
                let cap_per_s = self.configuration.links[link.get()].cap_requests_per_s;
                let (peak_per_s, over_cap_windows) = peak_arrivals(arrivals, cap_per_s);
                Some(LinkReport { from, to, cap_per_s, peak_per_s, over_cap_windows })
            })
            .collect()
    }

    fn site_reports(&self, sites: &Sites) -> Vec<SiteReport> {
        let mut transitions: HashMap<SiteKey, Vec<(Instant, i32)>> = HashMap::new();
        for request in self.received_requests {
            let Some(site_key) = sites.get(&request.server) else { continue };
            let transitions = transitions.entry(site_key.clone()).or_default();
            transitions.extend([(request.arrived, 1), (request.ended, -1)]);
        }
        let zones = &self.configuration.availability_zones;
        let mut reports = Vec::new();
        for service in &self.configuration.services {
            for site in &service.sites {
                let zone = &zones[site.availability_zone.get()].name;
                let site_key = (service.name.clone(), zone.clone());
                let Some(transitions) = transitions.remove(&site_key) else { continue };
                let (peak_in_use, over_windows) =
                    peak_concurrency(transitions, site.capacity_slots);
                reports.push(SiteReport {
                    service: site_key.0,
                    availability_zone: site_key.1,
                    capacity_slots: site.capacity_slots,
                    peak_in_use,
                    over_windows,
                });
            }
        }
        reports
    }

    /// Counts the requests that arrived at a draining backend server later than `DRAIN_GRACE` after
    /// the start of its drain.
    fn requests_while_draining(&self) -> u64 {
        let late = |request: &&ReceivedRequest| {
            self.event_log.drain_periods.iter().any(|drain| {
                drain.server == request.server
                    && request.arrived > drain.started_at + DRAIN_GRACE
                    && request.arrived < drain.ended_at
            })
        };
        self.received_requests.iter().filter(late).count() as u64
    }

    /// Counts the broken attempts at an instance during its planned stop.
    fn attempts_broken_by_stops(&self) -> u64 {
        let is_broken_by_stop = |attempt: &&crate::tally::BrokenAttempt| {
            self.event_log.stops.iter().any(|stop| {
                stop.address == attempt.instance
                    && attempt.ended_at >= stop.started_at
                    && attempt.started_at <= stop.ended_at
            })
        };
        self.tally.broken_attempts().iter().filter(is_broken_by_stop).count() as u64
    }

    fn drain_reports(&self) -> Vec<DrainReport> {
        self.event_log
            .stops
            .iter()
            .map(|stop| DrainReport {
                instance: stop.instance.clone(),
                drain_ms: (stop.ended_at - stop.started_at).as_millis() as u64,
            })
            .collect()
    }
}

/// Returns the most arrivals in a window and the number of windows with more than `cap`. A window
/// begins with each arrival.
fn peak_arrivals(mut arrivals: Vec<Instant>, cap: u64) -> (u64, u64) {
    arrivals.sort_unstable();
    let counts = arrivals.iter().enumerate().map(|(first, arrival)| {
        let after = arrivals.partition_point(|other| *other < *arrival + LINK_WINDOW);
        (after - first) as u64
    });
    counts.fold((0, 0), |(peak, over_cap), count| {
        (peak.max(count), over_cap + u64::from(count > cap))
    })
}

/// Returns the highest number of concurrent requests and the number of seconds with more than
/// `limit`.
fn peak_concurrency(mut transitions: Vec<(Instant, i32)>, limit: u32) -> (u32, u64) {
    // At equal times, ends sort before arrivals.
    transitions.sort_unstable();
    let Some((start, _)) = transitions.first().copied() else { return (0, 0) };
    let mut concurrent = 0;
    let mut max_concurrent = 0;
    let mut seconds_over_limit = HashSet::new();
    for (time, delta) in transitions {
        concurrent += delta;
        max_concurrent = max_concurrent.max(concurrent);
        if concurrent > limit as i32 {
            seconds_over_limit.insert((time - start).as_secs());
        }
    }
    (max_concurrent as u32, seconds_over_limit.len() as u64)
}
