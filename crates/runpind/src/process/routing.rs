//! Keeps the tables of weights up to date, and the figures that they are built from.

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

/// Time between two tables.
const BUILD_PERIOD: Duration = Duration::from_secs(1);

/// Time without an answer from which a timeout counts as a failure of the site.
const LEAST_PATIENCE: Duration = Duration::from_secs(1);

/// Label of requests that no site could take.
const NO_SITE: &str = "none";

/// State of routing, for as long as the daemon lives.
pub struct Routing {
    /// What is known of the sites.
    pub figures: Mutex<Figures>,
    /// One number for each request.
    pub draws: RequestRng,
    builder: Mutex<Builder>,
    status: ArcSwap<Status>,
}

/// One exchange with a backend server, from the choice of the server to the answer's head.
///
/// An exchange that is dropped before it ended was given up and says nothing of the site.
pub struct SiteExchange {
    process: Arc<Process>,
    site: SiteName,
    round_trip: Duration,
    started: Time,
    ended: bool,
}

impl Routing {
    /// Starts without any figure.
    pub fn new(seed: u64) -> Self {
        Self {
            figures: Mutex::default(),
            draws: RequestRng::new(seed),
            builder: Mutex::new(Builder::new(Damping::On)),
            status: ArcSwap::default(),
        }
    }

    /// Returns why the table in force is as it is.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Explains where a caller's requests for a service go; `None` when the service is unknown.
    pub fn explain(&self, version: &Version, caller: IpAddr, service: &str) -> Option<Explanation> {
        let arms = &version.routing.arms;
        let own = &arms.entries()[arms.arm_position(address_hash(caller))].name;
        let status = self.status.load();
        let flows = status.flows.iter().filter(|flow| &*flow.service == service);
        let of_arm = |flow: &&ArmExplanation| flow.arm == *own;
        Some(Explanation {
            caller,
            configuration_version: status.configuration_version,
            arm: flows.clone().find(of_arm)?.clone(),
            shadows: flows.filter(|flow| flow.shadow).cloned().collect(),
        })
    }
}

impl Process {
    /// Builds the table of a version and puts it in force within the version.
    ///
    /// Called before the version itself is in force, so that no request finds it without a table.
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
        self.note_policies(&status);
        self.routing.status.store(Arc::new(status));
    }

    /// Takes over another instance's figures, as it described itself `age` ago.
    ///
    /// Times to answers travel less their round trip, so that they hold for every instance.
    pub fn absorb_sites(&self, from: &Arc<str>, sites: &[SiteFigure], age: Duration) {
        let reports = sites.iter().map(report_of).collect();
        self.routing.figures.lock().merge_report(from, reports, age, self.clock.now());
    }

    /// Returns this instance's figures for its description of itself.
    pub fn own_sites(&self) -> Vec<SiteFigure> {
        let reports = self.routing.figures.lock().own_report(self.clock.now());
        reports.into_iter().map(figure_of).collect()
    }

    /// Returns the instances of the own availability zone and the number of other instances.
    fn count_instances(&self) -> (usize, usize) {
        let members = self.members.load();
        let Some(members) = &*members else { return (1, 0) };
        let zone = &self.settings.availability_zone;
        let in_zone = members.in_zone(zone).filter(|member| member.usable).count();
        let others = members.usable().count().saturating_sub(1);
        // Before the first report, nobody says more of the sites than this instance sees itself.
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

    /// Counts failed policies, and logs when one begins or ceases to fail.
    fn note_policies(&self, status: &Status) {
        let before = self.routing.status.load();
        for flow in &status.flows {
            let known = before
                .flows
                .iter()
                .find(|known| known.arm == flow.arm && known.service == flow.service);
            let failed_before = known.is_some_and(|known| known.policy_error.is_some());
            match &flow.policy_error {
                Some(error) => {
                    self.metrics.policy_failures.with_label_values(&[&*flow.arm]).inc();
                    if !failed_before {
                        log::warn!(
                            "policy {} of arm {} fails for service {}: {error}",
                            flow.policy,
                            flow.arm,
                            flow.service
                        );
                    }
                }
                None if failed_before => {
                    log::info!("policy {} of arm {} works again", flow.policy, flow.arm);
                }
                None => {}
            }
        }
    }
}

/// Builds a table each second, for ever.
pub async fn run(process: Arc<Process>) {
    loop {
        tokio::time::sleep(BUILD_PERIOD).await;
        if let Some(version) = process.version.load_full() {
            process.build_table(&version);
        }
    }
}

fn report_of(figure: &SiteFigure) -> SiteReport {
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

fn figure_of(report: SiteReport) -> SiteFigure {
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
    /// Records that an exchange with a backend server of the site begins.
    pub fn start(process: Arc<Process>, site: SiteName, round_trip: Duration) -> Self {
        process.routing.figures.lock().record_start(&site);
        let started = process.clock.now();
        Self { process, site, round_trip, started, ended: false }
    }

    /// Records the answer's head; `failed` tells whether it says that the backend server failed.
    ///
    /// The time to the answer of an upload is that of its body, and says nothing of the site.
    pub fn answered(&mut self, class: Class, failed: bool) {
        let now = self.process.clock.now();
        let response_time = now.since(self.started).saturating_sub(self.round_trip);
        let response_time = (class != Class::Upload).then_some(response_time);
        self.end(ExchangeEnd::Responded { response_time, failed }, now);
    }

    /// Records that the caller's timeout passed before an answer; a short one says nothing.
    pub fn timed_out(&mut self) {
        let now = self.process.clock.now();
        if now.since(self.started) >= LEAST_PATIENCE {
            self.end(ExchangeEnd::Failed, now);
        }
    }

    /// Records that the backend server did not answer.
    pub fn failed(&mut self) {
        self.end(ExchangeEnd::Failed, self.process.clock.now());
    }

    fn end(&mut self, end: ExchangeEnd, now: Time) {
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
