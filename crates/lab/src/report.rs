//! The report of an experiment, as JSON and as a table.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the callers and backend servers.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub duration_s: u64,
    /// Requests by the outcome of their last attempt.
    pub requests: RequestCounts,
    /// Writes and uploads by how often they ran.
    pub writes: WriteCounts,
    /// Links that carried requests.
    pub links: Vec<LinkReport>,
    /// Sites that received requests.
    pub regions: Vec<SiteReport>,
    /// Changes of the configuration.
    pub config: ConfigReport,
    /// Planned stops of instances.
    pub drains: Vec<DrainReport>,
    /// Latency of answered requests in milliseconds, by `service/class/arm`.
    pub latency_ms: BTreeMap<String, Latency>,
    /// Checks and violations of each invariant.
    pub invariants: BTreeMap<&'static str, Invariant>,
}

/// Requests by the outcome of their last attempt.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct responses.
    pub answered: u64,
    /// Error responses which say that the request did not run.
    pub not_run: u64,
    /// Error responses after which the request may have run.
    pub unknown: u64,
    /// Requests without a connection or a response.
    pub lost: u64,
    /// Responses that were truncated or did not match the request.
    pub cut_or_wrong: u64,
}

/// Writes and uploads by how often they ran.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WriteCounts {
    /// Idempotency keys used.
    pub keys: u64,
    /// Keys that ran once.
    pub run_once: u64,
    /// Keys that ran twice or more.
    pub run_more_than_once: u64,
    /// Keys that ran although a response said that they did not.
    pub told_not_run_but_run: u64,
}

/// Requests over one link, as they arrived at backend servers.
#[derive(Clone, Debug, Serialize)]
pub struct LinkReport {
    /// Availability zone of the instances.
    pub from: Arc<str>,
    /// Availability zone of the backend servers.
    pub to: Arc<str>,
    /// Cap on requests in any second.
    pub cap_per_s: u64,
    /// Most requests in any second.
    pub peak_per_s: u64,
    /// Requests that begin a second with more than the cap.
    pub over_cap_windows: u64,
}

/// Requests at one service's backend servers in one availability zone.
#[derive(Clone, Debug, Serialize)]
pub struct SiteReport {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone.
    pub availability_zone: Arc<str>,
    /// Slots that steering may use.
    pub capacity_slots: u32,
    /// Most concurrent requests.
    pub peak_in_use: u32,
    /// Seconds with more concurrent requests than slots.
    pub over_windows: u64,
}

/// Changes of the configuration.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ConfigReport {
    /// Changes accepted.
    pub accepted: u64,
    /// Longest time from sending a change to its activation on all instances, in milliseconds.
    pub in_force_ms_max: u64,
    /// Number of times that an instance went back to a lower version.
    pub reverts: u64,
}

/// A planned stop of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct DrainReport {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Time from the stop request to the end of the daemon, in milliseconds.
    pub drain_ms: u64,
}

/// A summary of a latency histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Number of responses.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Results of checking one invariant.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Invariant {
    /// Number of checks; 0 means that the invariant was not checked.
    pub checked: u64,
    /// Number of checks that failed.
    pub violations: u64,
}

impl Report {
    /// Returns whether any invariant was violated.
    pub fn has_violations(&self) -> bool {
        self.invariants.values().any(|invariant| invariant.violations > 0)
    }

    fn write_totals(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = &self.requests;
        writeln!(formatter, "{}: {} s, seed {}", self.experiment, self.duration_s, self.seed)?;
        writeln!(
            formatter,
            "requests  {} sent, {} answered, {} not run, {} unknown, {} lost, {} cut or wrong",
            requests.sent,
            requests.answered,
            requests.not_run,
            requests.unknown,
            requests.lost,
            requests.cut_or_wrong
        )?;
        let writes = &self.writes;
        writeln!(
            formatter,
            "writes    {} keys, {} run once, {} more than once, {} run though told not",
            writes.keys, writes.run_once, writes.run_more_than_once, writes.told_not_run_but_run
        )?;
        let config = &self.config;
        writeln!(
            formatter,
            "config    {} accepted, in force within {} ms, {} reverts",
            config.accepted, config.in_force_ms_max, config.reverts
        )?;
        let longest_ms = self.drains.iter().map(|drain| drain.drain_ms).max().unwrap_or(0);
        let drains = self.drains.len();
        writeln!(formatter, "drains    {drains} instances, longest {longest_ms} ms")
    }

    /// Writes the link and the site with the highest utilization.
    fn write_highest_utilization(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let utilization_per_mille = |used: f64, limit: f64| (used / limit * 1_000.0) as u64;
        let busiest = self.links.iter().max_by_key(|link| {
            utilization_per_mille(link.peak_per_s as f64, link.cap_per_s as f64)
        });
        if let Some(link) = busiest {
            let LinkReport { from, to, cap_per_s, peak_per_s, .. } = link;
            writeln!(
                formatter,
                "fullest link  {from} to {to}: {peak_per_s} of {cap_per_s} requests/s"
            )?;
        }
        let busiest = self.regions.iter().max_by_key(|site| {
            utilization_per_mille(f64::from(site.peak_in_use), f64::from(site.capacity_slots))
        });
        if let Some(site) = busiest {
            let SiteReport { service, availability_zone, capacity_slots, peak_in_use, .. } = site;
            writeln!(
                formatter,
                "fullest site  {service} in {availability_zone}: {peak_in_use} of {capacity_slots} slots"
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    /// Writes the report as a short table.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_totals(formatter)?;
        self.write_highest_utilization(formatter)?;
        let header = ["latency in ms", "count", "p50", "p99", "p999", "max"];
        let [name, count, p50, p99, p999, max] = header;
        writeln!(formatter, "\n{name:36} {count:>8} {p50:>8} {p99:>8} {p999:>8} {max:>8}")?;
        for (name, latency) in &self.latency_ms {
            writeln!(
                formatter,
                "{name:36} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
                latency.count, latency.p50, latency.p99, latency.p999, latency.max
            )?;
        }
        writeln!(formatter)?;
        for (name, invariant) in &self.invariants {
            let verdict = match invariant {
                Invariant { checked: 0, .. } => "not checked".to_owned(),
                Invariant { checked, violations: 0 } => format!("held in {checked} checks"),
                Invariant { checked, violations } => {
                    format!("BROKEN: {violations} violations, {checked} checks")
                }
            };
            writeln!(formatter, "{name:36} {verdict}")?;
        }
        Ok(())
    }
}
