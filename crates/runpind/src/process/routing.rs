//! Keeps the routing tables and the site figures that they are built from up to date.

use super::Process;
use crate::version::Version;
use arc_swap::ArcSwap;
use configuration::Class;
use parking_lot::Mutex;
use peer::message::SiteFigure;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::figures::{ExchangeEnd, Figures, SiteName, SiteReport};
use steering::guard::Damping;
use steering::hash::address_hash;
use steering::routing::{
    ArmExplanation, BuildOutput, Builder, Explanation, FlowCounts, Input, RequestRng, Status,
};

/// Interval between builds of the routing table.
const BUILD_PERIOD: Duration = Duration::from_secs(1);

/// Minimum duration of an exchange for its timeout to count as a failure of the site.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// Metric label of requests for which no site was available.
const NO_SITE: &str = "none";

/// Routing state of the daemon.
pub struct Routing {
    /// Load and latency figures of the sites.
    pub figures: Mutex<Figures>,
    /// Source of one pseudorandom number per request.
    pub request_rng: RequestRng,
    builder: Mutex<Builder>,
    status: ArcSwap<Status>,
}

/// One exchange with a backend server, from the selection of the server to the response head.
///
/// An exchange that is dropped before its end counts as abandoned and does not affect the site's
/// figures of latency and failures.
pub struct SiteExchange {
    process: Arc<Process>,
    site: SiteName,
    round_trip: Duration,
    started: Time,
    ended: bool,
}

impl Routing {
    /// Creates the state without any figures.
    pub fn new(seed: u64) -> Self {
        Self {
            figures: Mutex::default(),
            request_rng: RequestRng::new(seed),
            builder: Mutex::new(Builder::new(Damping::On)),
            status: ArcSwap::default(),
        }
    }

    /// Returns the explanation of the current table.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Explains how a caller's requests for a service are routed; `None` if the service is unknown.
    pub fn explain(&self, version: &Version, caller: IpAddr, service: &str) -> Option<Explanation> {
        let arms = &version.routing.arms;
        let own_arm = &arms.entries()[arms.arm_position(address_hash(caller))].name;
        let status = self.status.load();
        let flows = status.flows.iter().filter(|flow| &*flow.service == service);
        let is_own_arm = |flow: &&ArmExplanation| flow.arm == *own_arm;
        Some(Explanation {
            caller,
            configuration_version: status.configuration_version,
            arm: flows.clone().find(is_own_arm)?.clone(),
            shadows: flows.filter(|flow| flow.shadow).cloned().collect(),
        })
    }
}

impl Process {
    /// Builds the routing table of a version and stores it in the version.
    ///
    /// Must be called before the version becomes active, so that no request finds it without a
    /// table.
    pub fn build_table(&self, version: &Version) {
        let Some(own_zone) = version.own_zone else { return };
        let (instances, others) = self.count_instances();
        let unusable = HashSet::new();
        let now = self.clock.now();
        let mut builder = self.routing.builder.lock();
        let BuildOutput { table, status, chosen } = {
            let mut figures = self.routing.figures.lock();
            figures.remove_expired(now);
            let input = Input {
                version: version.number,
                configuration: &version.configuration,
                own_zone,
                arms: &version.routing.arms,
                programs: &version.routing.programs,
                counters: &version.routing.counters,
                figures: &figures,
                unusable: &unusable,
                instances,
                others,
            };
            builder.build(&input, now)
        };
        version.routing.set_table(table);
        self.count_choices(version, &chosen);
        self.record_policy_failures(&status);
        self.routing.status.store(Arc::new(status));
    }

    /// Merges another instance's site figures from a description that is `age` old.
    ///
    /// Latencies in descriptions exclude the round-trip time, so that they are valid for all
    /// instances.
    pub fn merge_site_figures(&self, from: &Arc<str>, sites: &[SiteFigure], age: Duration) {
        let reports = sites.iter().map(to_site_report).collect();
        self.routing.figures.lock().merge_report(from, reports, age, self.clock.now());
    }

    /// Returns this instance's site figures for its description.
    pub fn own_site_figures(&self) -> Vec<SiteFigure> {
        let reports = self.routing.figures.lock().own_report(self.clock.now());
        reports.into_iter().map(to_site_figure).collect()
    }

    /// Returns the number of usable instances in the own availability zone, at least 1, and that of
    /// other usable instances in all zones, 0 until one of them has reported figures.
    fn count_instances(&self) -> (usize, usize) {
        let members = self.members.load();
        let Some(members) = &*members else { return (1, 0) };
        let zone = &self.settings.availability_zone;
        let in_zone = members.in_zone(zone).filter(|member| member.usable).count();
        let others = members.usable().count().saturating_sub(1);
        // Without any report of other instances, only this instance's own figures are known.
        let reporting = self.routing.figures.lock().has_reports();
        (in_zone.max(1), if reporting { others } else { 0 })
    }

    fn count_choices(&self, version: &Version, chosen: &[Vec<FlowCounts>]) {
        let configuration = &version.configuration;
        for (service, flows) in configuration.services.iter().zip(chosen) {
            for (arm, counts) in version.routing.arms.entries().iter().zip(flows) {
                let metric = match arm.shadow {
                    true => &self.metrics.shadow_choices,
                    false => &self.metrics.site_choices,
                };
                let zones = service.sites.iter().map(|site| {
                    &*configuration.availability_zones[site.availability_zone.get()].name
                });
                let counted = zones.zip(counts.chosen.iter().copied());
                for (zone, count) in counted.chain([(NO_SITE, counts.unplaced)]) {
                    if count > 0 {
                        metric.with_label_values(&[&*service.name, &arm.name, zone]).inc_by(count);
                    }
                }
            }
        }
    }

    /// Counts failed policies, and logs when a policy starts failing or recovers.
    fn record_policy_failures(&self, status: &Status) {
        let before = self.routing.status.load();
        for flow in &status.flows {
            let previous = before
                .flows
                .iter()
                .find(|previous| previous.arm == flow.arm && previous.service == flow.service);
            let had_failed = previous.is_some_and(|previous| previous.policy_error.is_some());
            match &flow.policy_error {
                Some(error) => {
                    self.metrics.policy_failures.with_label_values(&[&*flow.arm]).inc();
                    if !had_failed {
                        log::warn!(
                            "policy {} of arm {} fails for service {}: {error}",
                            flow.policy,
                            flow.arm,
                            flow.service
                        );
                    }
                }
                None if had_failed => {
                    log::info!("policy {} of arm {} recovered", flow.policy, flow.arm);
                }
                None => {}
            }
        }
    }
}

/// Builds the routing table every `BUILD_PERIOD`, until the task is dropped.
pub async fn run(process: Arc<Process>) {
    loop {
        tokio::time::sleep(BUILD_PERIOD).await;
        if let Some(version) = process.version.load_full() {
            process.build_table(&version);
        }
    }
}

fn to_site_report(figure: &SiteFigure) -> SiteReport {
    SiteReport {
        site: SiteName {
            service: figure.service.clone(),
            availability_zone: figure.availability_zone.clone(),
        },
        in_flight: figure.in_flight,
        granted_slots: figure.granted_slots,
        response_time_us: Some(figure.latency_us).filter(|time_us| *time_us > 0),
        failed_share: f64::from(figure.failed_per_mille.min(1_000)) / 1_000.0,
    }
}

fn to_site_figure(report: SiteReport) -> SiteFigure {
    SiteFigure {
        service: report.site.service,
        availability_zone: report.site.availability_zone,
        in_flight: report.in_flight,
        granted_slots: report.granted_slots,
        latency_us: report.response_time_us.unwrap_or(0),
        failed_per_mille: (report.failed_share * 1_000.0).round() as u16,
    }
}

impl SiteExchange {
    /// Records the start of an exchange with a backend server of the site.
    pub fn start(process: Arc<Process>, site: SiteName, round_trip: Duration) -> Self {
        process.routing.figures.lock().record_start(&site);
        let started = process.clock.now();
        Self { process, site, round_trip, started, ended: false }
    }

    /// Records the response head; `failed` is whether it reports a failure of the backend server.
    ///
    /// The latency of an upload is not recorded, as it depends on the transfer of the request body.
    pub fn record_response(&mut self, class: Class, failed: bool) {
        let now = self.process.clock.now();
        let response_time = now.since(self.started).saturating_sub(self.round_trip);
        let response_time = (class != Class::Upload).then_some(response_time);
        self.record_end(ExchangeEnd::Responded { response_time, failed }, now);
    }

    /// Records that the caller's timeout expired before a response; an exchange shorter than
    /// `MIN_FAILURE_TIMEOUT` is not counted.
    pub fn record_timeout(&mut self) {
        let now = self.process.clock.now();
        if now.since(self.started) >= MIN_FAILURE_TIMEOUT {
            self.record_end(ExchangeEnd::Failed, now);
        }
    }

    /// Records that the backend server failed to respond.
    pub fn record_failure(&mut self) {
        self.record_end(ExchangeEnd::Failed, self.process.clock.now());
    }

    fn record_end(&mut self, end: ExchangeEnd, now: Time) {
        if !std::mem::replace(&mut self.ended, true) {
            self.process.routing.figures.lock().record_end(&self.site, end, now);
        }
    }
}

impl Drop for SiteExchange {
    fn drop(&mut self) {
        let now = self.process.clock.now();
        let mut figures = self.process.routing.figures.lock();
        if !self.ended {
            figures.record_end(&self.site, ExchangeEnd::Abandoned, now);
        }
        figures.record_release(&self.site);
    }
}
