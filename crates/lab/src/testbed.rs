//! The test bed of an experiment: mock servers, daemons, the network, and the event log of a run.

use crate::LabError;
use crate::dialer::{Network, ZoneDialer};
use crate::experiment::{Experiment, ServiceTime, read_file};
use crate::mock_backend_server::{BackendBehavior, BackendOptions, MockBackendServer};
use crate::mock_platform::MockPlatform;
use crate::record::RunRecord;
use crate::report::ConfigReport;
use crate::zone_platform::ZonePlatform;
use ::platform::{Expected, InstanceEntry, InstanceState, ObjectStore};
use configuration::{Configuration, MANIFEST_KEY, Manifest, Service, ZoneIndex};
use parking_lot::Mutex;
use runpind::process::clock::BootClock;
use runpind::{Daemon, Dependencies, RawSettings, Settings};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout until all daemons are ready, in seconds.
const READY_TIMEOUT_S: u64 = 10;

/// Mean service time of services for which the experiment sets none, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 10.0;

/// Peer key and bearer tokens of the lab's daemons.
pub(crate) const LAB_SECRET: &str = "lab-secret-lab-secret";

/// Everything that runs during an experiment.
pub(crate) struct Testbed {
    pub(crate) platform: Arc<MockPlatform>,
    /// The initial configuration, with the actual addresses of the mock backend servers.
    pub(crate) configuration: Configuration,
    pub(crate) network: Arc<Network>,
    pub(crate) record: RunRecord,
    pub(crate) instances: Mutex<Vec<Instance>>,
    pub(crate) backends: Mutex<Vec<Backend>>,
    pub(crate) event_log: Mutex<EventLog>,
    /// TOML text of the last accepted configuration.
    pub(crate) configuration_text: Mutex<String>,
    pub(crate) instance_list_lag: Duration,
    instances_started: AtomicUsize,
}

/// A running daemon.
pub(crate) struct Instance {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) daemon: Daemon,
}

/// A backend server, running or not.
pub(crate) struct Backend {
    pub(crate) service: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) running: Option<MockBackendServer>,
    options: BackendOptions,
    behavior: BackendBehavior,
}

/// Events of a run that the checker needs.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    pub(crate) stops: Vec<PlannedStop>,
    pub(crate) drain_periods: Vec<DrainPeriod>,
    /// Configuration versions that some instance has not activated yet, with the times at which
    /// they were sent.
    pub(crate) pending: Vec<(u64, Instant)>,
    pub(crate) activation_ms: Vec<u64>,
    pub(crate) config: ConfigReport,
    /// Number of version changes observed, over all instances.
    pub(crate) observed_version_changes: u64,
}

/// A planned stop of an instance.
#[derive(Clone, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) instance: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
}

/// A period in which a backend server was draining.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainPeriod {
    pub(crate) server: SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) ended_at: Instant,
}

impl Testbed {
    /// Starts the mock servers and the daemons, and waits until the daemons are ready.
    pub(crate) async fn start(experiment: &Experiment, seed: u64) -> Result<Arc<Self>, LabError> {
        let path = &experiment.configuration;
        let parse = |configuration_text: &str| {
            configuration_text
                .parse::<Configuration>()
                .map_err(|source| LabError::Configuration { path: path.clone(), source })
        };
        let configuration_text = read_file(path)?;
        let declared_configuration = parse(&configuration_text)?;
        let network = Arc::new(Network::default());
        let record = RunRecord::with_source_zones(network.source_zones());
        let (backends, configuration_text) =
            start_backends(&declared_configuration, configuration_text, experiment, seed, &record)
                .await?;
        let configuration = parse(&configuration_text)?;
        set_delays(&network, &configuration);
        let platform = Arc::new(MockPlatform::default());
        store_configuration(&platform, &configuration_text).await?;
        let testbed = Arc::new(Self {
            platform,
            configuration,
            network,
            record,
            instances: Mutex::default(),
            backends: Mutex::new(backends),
            event_log: Mutex::default(),
            configuration_text: Mutex::new(configuration_text),
            instance_list_lag: Duration::from_millis(experiment.instance_list_lag_ms),
            instances_started: AtomicUsize::new(0),
        });
        testbed.start_instances(experiment.instances_per_zone).await?;
        Ok(testbed)
    }

    async fn start_instances(&self, per_zone: usize) -> Result<(), LabError> {
        for zone in &self.configuration.availability_zones {
            for _ in 0..per_zone {
                let entry = self.start_instance(&zone.name).await?;
                self.platform.change_entry_instances(|entries| entries.push(entry));
            }
        }
        let ready = async {
            while !self.are_ready() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(READY_TIMEOUT_S), ready)
            .await
            .map_err(|_| LabError::NotReady(READY_TIMEOUT_S))
    }

    /// Returns whether every instance has a configuration and sees all instances as usable.
    fn are_ready(&self) -> bool {
        let instances = self.instances.lock();
        instances.iter().all(|instance| is_ready(&instance.daemon, instances.len()))
    }

    /// Starts an instance and returns its entry for the platform's list.
    pub(crate) async fn start_instance(&self, zone: &Arc<str>) -> Result<InstanceEntry, LabError> {
        let index = self.instances_started.fetch_add(1, Ordering::Relaxed);
        let name: Arc<str> = format!("{zone}-{index}").into();
        let platform = Arc::new(ZonePlatform {
            platform: self.platform.clone(),
            network: self.network.clone(),
            zone: zone.clone(),
        });
        let dependencies = Dependencies {
            store: platform.clone(),
            directory: platform,
            dialer: Arc::new(ZoneDialer::new(self.network.clone(), zone.clone())),
            clock: Arc::new(BootClock),
        };
        let daemon = Daemon::start(settings(&name, zone)?, dependencies).await?;
        let entry = InstanceEntry {
            name: name.clone(),
            availability_zone: zone.clone(),
            caller_address: daemon.caller_address(),
            peer_address: daemon.peer_address(),
            state: InstanceState::Live,
        };
        self.instances.lock().push(Instance { name, zone: zone.clone(), daemon });
        Ok(entry)
    }

    /// Returns the caller addresses of all instances, those in `zone` first.
    pub(crate) fn instances_from(&self, zone: &str) -> Vec<SocketAddr> {
        let instances = self.instances.lock();
        let (in_zone, elsewhere): (Vec<_>, Vec<_>) =
            instances.iter().partition(|instance| &*instance.zone == zone);
        in_zone
            .into_iter()
            .chain(elsewhere)
            .map(|instance| instance.daemon.caller_address())
            .collect()
    }

    /// Returns `count` addresses of the availability zone's first client block.
    pub(crate) fn caller_addresses(&self, zone: ZoneIndex, count: usize) -> Vec<IpAddr> {
        let blocks = &self.configuration.client_blocks;
        let first = blocks
            .iter()
            .find(|block| block.availability_zone == zone)
            .map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |block| block.block.addr());
        (0..count as u32)
            .map(|index| match first {
                IpAddr::V4(first) => Ipv4Addr::from_bits(first.to_bits() + index).into(),
                first => first,
            })
            .collect()
    }

    /// Kills all daemons.
    pub(crate) fn kill_instances(&self) {
        self.instances.lock().drain(..).for_each(|instance| instance.daemon.kill());
    }
}

impl Backend {
    /// Returns a stopped copy with the same address and options.
    pub(crate) fn stopped_copy(&self) -> Self {
        Self {
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            running: None,
            options: self.options,
            behavior: self.behavior,
        }
    }

    /// Starts the backend server on its address; port 0 gets a free port.
    pub(crate) async fn start(&mut self, record: &RunRecord) -> Result<(), LabError> {
        let backend = MockBackendServer::start_on(self.address, self.options, record.clone())
            .await
            .map_err(LabError::Listen)?;
        backend.update_behavior(|behavior| *behavior = self.behavior);
        self.address = backend.address;
        self.running = Some(backend);
        Ok(())
    }
}

fn is_ready(daemon: &Daemon, instances: usize) -> bool {
    let process = daemon.process();
    let members = process.members.load();
    let usable = members.as_ref().map_or(0, |members| members.usable().count());
    process.version.load().is_some()
        && process.shares.is_ready(process.clock.now())
        && usable == instances
}

fn settings(name: &Arc<str>, zone: &Arc<str>) -> Result<Settings, LabError> {
    let free_port = || Some("127.0.0.1:0".to_owned());
    let secret = || Some(LAB_SECRET.to_owned());
    let raw = RawSettings {
        name: Some(name.to_string()),
        availability_zone: Some(zone.to_string()),
        caller_address: free_port(),
        peer_address: free_port(),
        admin_address: free_port(),
        platform_address: free_port(),
        peer_keys: secret(),
        read_token: secret(),
        change_token: secret(),
        drain_timeout_ms: Some("30000".to_owned()),
        trust_caller_header: Some("true".to_owned()),
        ..RawSettings::default()
    };
    Ok(Settings::try_from(raw)?)
}

fn set_delays(network: &Network, configuration: &Configuration) {
    let name = |zone: ZoneIndex| &configuration.availability_zones[zone.get()].name;
    for link in &configuration.links {
        let delay = Duration::from_secs_f64(configuration.delay_ms(link.from, link.to) / 1_000.0);
        network.set_delay(name(link.from), name(link.to), delay);
    }
}

/// Starts a mock server for every backend server and returns them with the configuration text,
/// in which their actual addresses replace the declared ones.
async fn start_backends(
    configuration: &Configuration,
    mut configuration_text: String,
    experiment: &Experiment,
    seed: u64,
    record: &RunRecord,
) -> Result<(Vec<Backend>, String), LabError> {
    let mut backends = Vec::new();
    for service in &configuration.services {
        for site in &service.sites {
            let zone = &configuration.availability_zones[site.availability_zone.get()].name;
            for server in &site.backend_servers {
                let seed = seed.wrapping_add(backends.len() as u64);
                let mut backend = new_backend(experiment, service, zone.clone(), seed);
                backend.start(record).await?;
                let quoted = |address: SocketAddr| format!("\"{address}\"");
                configuration_text =
                    configuration_text.replace(&quoted(server.address), &quoted(backend.address));
                backends.push(backend);
            }
        }
    }
    Ok((backends, configuration_text))
}

fn new_backend(experiment: &Experiment, service: &Service, zone: Arc<str>, seed: u64) -> Backend {
    let service_time: Option<&ServiceTime> =
        experiment.service_times.iter().find(|service_time| *service_time.service == *service.name);
    let behavior =
        service_time.map_or(BackendBehavior::default(), |service_time| BackendBehavior {
            queue_limit: service_time.queue_limit,
            cold_requests: service_time.cold_requests,
            cold_factor: service_time.cold_factor,
            ..BackendBehavior::default()
        });
    let mean_service_ms =
        service_time.map_or(DEFAULT_SERVICE_MS, |service_time| service_time.mean_ms);
    Backend {
        service: service.name.clone(),
        zone,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        running: None,
        options: BackendOptions { slots: service.slots_per_server, mean_service_ms, seed },
        behavior,
    }
}

async fn store_configuration(
    platform: &MockPlatform,
    configuration_text: &str,
) -> Result<(), LabError> {
    let manifest = Manifest {
        number: 1,
        write_id: "lab".into(),
        author: "lab".into(),
        applied_at_s: 0,
        text: configuration_text.into(),
        chunks: Vec::new(),
        retired: Vec::new(),
        drains: Vec::new(),
    };
    let value = serde_json::to_vec(&manifest).unwrap_or_default();
    platform.put(MANIFEST_KEY, value.into(), Expected::Absent).await?;
    Ok(())
}
