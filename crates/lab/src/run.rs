//! Running an experiment: stand-ins, daemons as tasks, callers, and the report.

use crate::LabError;
use crate::backend::{BackendOptions, BackendStandIn, RunRecord};
use crate::callers::Callers;
use crate::dialer::{Network, ZoneDialer};
use crate::experiment::{Experiment, read_file};
use crate::platform::PlatformStandIn;
use crate::report::{Report, Tally};
use ::platform::{Expected, InstanceEntry, InstanceState, ObjectStore};
use configuration::{Configuration, MANIFEST_KEY, Manifest, Service};
use runpind::process::clock::BootClock;
use runpind::settings::{LogFormat, Secret, Settings};
use runpind::{Daemon, Dependencies};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for the daemons to have a configuration, in seconds.
const READY_TIMEOUT_S: u64 = 10;

/// Mean service time where the experiment names none, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 10.0;

/// Key and tokens of the lab's daemons.
const LAB_SECRET: &str = "lab-secret-lab-secret";

/// What may differ from one run of an experiment to the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of callers and backend servers.
    pub seed: u64,
    /// Length of the run in seconds, in place of the experiment's.
    pub duration_s: Option<u64>,
}

/// Everything that runs during an experiment.
struct Laboratory {
    platform: Arc<PlatformStandIn>,
    configuration: Configuration,
    network: Arc<Network>,
    record: RunRecord,
    daemons: Vec<(Arc<str>, Daemon)>,
    // Backend servers stop when dropped.
    _backends: Vec<BackendStandIn>,
}

/// Runs an experiment; `progress` gets a line each second.
pub async fn run(
    experiment: &Experiment,
    options: RunOptions,
    progress: impl Fn(String) + Send + Sync,
) -> Result<Report, LabError> {
    let duration_s = options.duration_s.unwrap_or(experiment.duration_s);
    let laboratory = Laboratory::start(experiment, options.seed).await?;
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(duration_s);
    let callers = laboratory.callers(experiment, options.seed, &tally)?;
    let mut running = tokio::task::JoinSet::new();
    for callers in callers {
        running.spawn(callers.run(end));
    }
    for second in 1..=duration_s {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let seen = tally.requests();
        progress(format!(
            "{second:>4} s of {duration_s} s: {} sent, {} answered, {} not run, {} lost",
            seen.sent, seen.answered, seen.not_run, seen.lost
        ));
    }
    while running.join_next().await.is_some() {}
    let record = laboratory.record.clone();
    laboratory.stop().await;
    Ok(tally.report(experiment.name.clone(), options.seed, duration_s, &record))
}

impl Laboratory {
    async fn start(experiment: &Experiment, seed: u64) -> Result<Self, LabError> {
        let path = &experiment.configuration;
        let text = read_file(path)?;
        let parsed = |text: &str| {
            text.parse::<Configuration>()
                .map_err(|source| LabError::Configuration { path: path.clone(), source })
        };
        let declared = parsed(&text)?;
        let record = RunRecord::default();
        let (backends, text) = start_backends(&declared, text, experiment, seed, &record).await?;
        let configuration = parsed(&text)?;
        let platform = Arc::new(PlatformStandIn::default());
        accept(&platform, &text).await?;
        let network = Arc::new(network(&configuration));
        let mut laboratory = Self {
            platform,
            configuration,
            network,
            record,
            daemons: Vec::new(),
            _backends: backends,
        };
        laboratory.start_daemons(experiment.instances_per_zone).await?;
        Ok(laboratory)
    }

    async fn start_daemons(&mut self, per_zone: usize) -> Result<(), LabError> {
        let zones: Vec<Arc<str>> =
            self.configuration.availability_zones.iter().map(|zone| zone.name.clone()).collect();
        let mut entries = Vec::new();
        for zone in zones {
            for number in 0..per_zone {
                let name: Arc<str> = format!("{zone}-{number}").into();
                let daemon = self.start_daemon(&name, &zone).await?;
                entries.push(InstanceEntry {
                    name: name.clone(),
                    availability_zone: zone.clone(),
                    caller_address: daemon.caller_address(),
                    peer_address: daemon.peer_address(),
                    state: InstanceState::Live,
                });
                self.daemons.push((zone.clone(), daemon));
            }
        }
        self.platform.set_entry_instances(entries);
        let ready = async {
            while !self.daemons.iter().all(|(_, daemon)| is_ready(daemon)) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(READY_TIMEOUT_S), ready)
            .await
            .map_err(|_| LabError::NotReady(READY_TIMEOUT_S))
    }

    async fn start_daemon(&self, name: &Arc<str>, zone: &Arc<str>) -> Result<Daemon, LabError> {
        let dependencies = Dependencies {
            store: self.platform.clone(),
            directory: self.platform.clone(),
            dialer: Arc::new(ZoneDialer::new(self.network.clone(), zone.clone())),
            clock: Arc::new(BootClock),
        };
        Ok(Daemon::start(settings(name, zone), dependencies).await?)
    }

    fn callers(
        &self,
        experiment: &Experiment,
        seed: u64,
        tally: &Arc<Tally>,
    ) -> Result<Vec<Callers>, LabError> {
        let mut all = Vec::new();
        for load in &experiment.loads {
            if self.configuration.service(&load.service).is_none() {
                let name = load.service.clone();
                return Err(LabError::Unknown { field: "load.service", name });
            }
            for (position, zone) in self.configuration.availability_zones.iter().enumerate() {
                all.push(Callers {
                    load: load.clone(),
                    address: self.caller_in(&zone.name),
                    instances: self.instances_from(&zone.name),
                    seed: seed ^ ((all.len() as u64 + 1) << 32) ^ position as u64,
                    tally: tally.clone(),
                });
            }
        }
        Ok(all)
    }

    /// Returns an address of the availability zone's first client block.
    fn caller_in(&self, zone: &str) -> IpAddr {
        let zone = self.configuration.zone(zone);
        self.configuration
            .client_blocks
            .iter()
            .find(|block| Some(block.availability_zone) == zone)
            .map_or(IpAddr::from([127, 0, 0, 1]), |block| block.block.addr())
    }

    /// Returns the addresses that a caller asks first, those of its own availability zone first.
    fn instances_from(&self, zone: &str) -> Vec<SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) =
            self.daemons.iter().partition(|(daemon_zone, _)| &**daemon_zone == zone);
        near.into_iter().chain(far).map(|(_, daemon)| daemon.caller_address()).collect()
    }

    async fn stop(self) {
        for (_, daemon) in self.daemons {
            daemon.stop().await;
        }
    }
}

fn is_ready(daemon: &Daemon) -> bool {
    let process = daemon.process();
    process.version.load().is_some()
        && process.members.load().as_ref().is_some_and(|members| !members.members.is_empty())
}

fn settings(name: &Arc<str>, zone: &Arc<str>) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.clone(),
        availability_zone: zone.clone(),
        caller_address: any,
        peer_address: any,
        admin_address: any,
        platform_address: any,
        peer_keys: vec![Secret::from(LAB_SECRET)],
        read_token: Secret::from(LAB_SECRET),
        change_token: Secret::from(LAB_SECRET),
        log_format: LogFormat::Text,
        drain_timeout_ms: 30_000,
        trust_caller_header: true,
    }
}

fn network(configuration: &Configuration) -> Network {
    let network = Network::default();
    for link in &configuration.links {
        let delay = Duration::from_secs_f64(configuration.delay_ms(link.from, link.to) / 1_000.0);
        let name = |zone: configuration::ZoneIndex| {
            configuration.availability_zones[zone.get()].name.clone()
        };
        network.set_delay(&name(link.from), &name(link.to), delay);
    }
    network
}

/// Starts a stand-in for every backend server and returns the text with their real addresses.
async fn start_backends(
    configuration: &Configuration,
    mut text: String,
    experiment: &Experiment,
    seed: u64,
    record: &RunRecord,
) -> Result<(Vec<BackendStandIn>, String), LabError> {
    let mut backends = Vec::new();
    for service in &configuration.services {
        let options = |number: usize| BackendOptions {
            slots: service.slots_per_server,
            mean_service_ms: mean_service_ms(experiment, service),
            seed: seed.wrapping_add(number as u64),
        };
        for server in service.sites.iter().flat_map(|site| &site.backend_servers) {
            let options = options(backends.len());
            let backend =
                BackendStandIn::start(options, record.clone()).await.map_err(LabError::Listen)?;
            let quoted = |address: SocketAddr| format!("\"{address}\"");
            text = text.replace(&quoted(server.address), &quoted(backend.address));
            backends.push(backend);
        }
    }
    Ok((backends, text))
}

fn mean_service_ms(experiment: &Experiment, service: &Service) -> f64 {
    experiment
        .service_times
        .iter()
        .find(|time| *time.service == *service.name)
        .map_or(DEFAULT_SERVICE_MS, |time| time.mean_ms)
}

async fn accept(platform: &PlatformStandIn, text: &str) -> Result<(), LabError> {
    let manifest = Manifest {
        number: 1,
        write_id: "lab".into(),
        author: "lab".into(),
        applied_at_s: 0,
        text: text.into(),
        chunks: Vec::new(),
        retired: Vec::new(),
        drains: Vec::new(),
    };
    let value = serde_json::to_vec(&manifest).unwrap_or_default();
    platform.put(MANIFEST_KEY, value.into(), Expected::Absent).await?;
    Ok(())
}
