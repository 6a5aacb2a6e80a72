//! Everything that runs during an experiment, and the journal of what was done to it.

use crate::LabError;
use crate::dialer::{Network, ZoneDialer};
use crate::experiment::{Experiment, ServiceTime, read_file};
use crate::mock_backend_server::{BackendOptions, BackendSwitches, MockBackendServer};
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

/// Longest wait for the daemons to have a configuration, in seconds.
const READY_TIMEOUT_S: u64 = 10;

/// Mean service time where the experiment names none, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 10.0;

/// Key and tokens of the lab's daemons.
pub(crate) const LAB_SECRET: &str = "lab-secret-lab-secret";

/// Everything that runs during an experiment.
pub(crate) struct Laboratory {
    pub(crate) platform: Arc<MockPlatform>,
    /// The first configuration, with the addresses that the backend servers really have.
    pub(crate) configuration: Configuration,
    pub(crate) network: Arc<Network>,
    pub(crate) record: RunRecord,
    pub(crate) instances: Mutex<Vec<Instance>>,
    pub(crate) backends: Mutex<Vec<Backend>>,
    pub(crate) journal: Mutex<Journal>,
    /// Text of the newest configuration.
    pub(crate) text: Mutex<String>,
    pub(crate) list_lag: Duration,
    started: AtomicUsize,
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
    switches: BackendSwitches,
}

/// What was done during a run.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    pub(crate) stops: Vec<Stop>,
    pub(crate) leaving: Vec<Leaving>,
    /// Versions that are not yet in force everywhere, with the times they were sent.
    pub(crate) pending: Vec<(u64, Instant)>,
    pub(crate) in_force_ms: Vec<u64>,
    pub(crate) config: ConfigReport,
    /// Times that an instance was seen to change its version.
    pub(crate) versions_seen: u64,
}

/// A planned stop of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Stop {
    pub(crate) instance: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
}

/// A time in which a backend server was leaving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    pub(crate) server: SocketAddr,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
}

impl Laboratory {
    /// Starts the stand-ins and the daemons, and waits until these are ready.
    pub(crate) async fn start(experiment: &Experiment, seed: u64) -> Result<Arc<Self>, LabError> {
        let path = &experiment.configuration;
        let parsed = |text: &str| {
            text.parse::<Configuration>()
                .map_err(|source| LabError::Configuration { path: path.clone(), source })
        };
        let text = read_file(path)?;
        let declared = parsed(&text)?;
        let network = Arc::new(Network::default());
        let record = RunRecord::with_origins(network.origins());
        let (backends, text) = start_backends(&declared, text, experiment, seed, &record).await?;
        let configuration = parsed(&text)?;
        set_delays(&network, &configuration);
        let platform = Arc::new(MockPlatform::default());
        accept(&platform, &text).await?;
        let laboratory = Arc::new(Self {
            platform,
            configuration,
            network,
            record,
            instances: Mutex::default(),
            backends: Mutex::new(backends),
            journal: Mutex::default(),
            text: Mutex::new(text),
            list_lag: Duration::from_millis(experiment.instance_list_lag_ms),
            started: AtomicUsize::new(0),
        });
        laboratory.start_instances(experiment.instances_per_zone).await?;
        Ok(laboratory)
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

    /// Tells whether every instance has a configuration and sees every other one serve.
    fn are_ready(&self) -> bool {
        let instances = self.instances.lock();
        instances.iter().all(|instance| is_ready(&instance.daemon, instances.len()))
    }

    /// Starts an instance and returns its entry for the platform's list.
    pub(crate) async fn start_instance(&self, zone: &Arc<str>) -> Result<InstanceEntry, LabError> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let name: Arc<str> = format!("{zone}-{number}").into();
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

    /// Returns the addresses that a caller asks first, those of its own availability zone first.
    pub(crate) fn instances_from(&self, zone: &str) -> Vec<SocketAddr> {
        let instances = self.instances.lock();
        let (near, far): (Vec<_>, Vec<_>) =
            instances.iter().partition(|instance| &*instance.zone == zone);
        near.into_iter().chain(far).map(|instance| instance.daemon.caller_address()).collect()
    }

    /// Returns `count` addresses of the availability zone's first client block.
    pub(crate) fn callers_in(&self, zone: ZoneIndex, count: usize) -> Vec<IpAddr> {
        let blocks = &self.configuration.client_blocks;
        let first = blocks
            .iter()
            .find(|block| block.availability_zone == zone)
            .map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |block| block.block.addr());
        (0..count as u32)
            .map(|number| match first {
                IpAddr::V4(first) => Ipv4Addr::from_bits(first.to_bits() + number).into(),
                first => first,
            })
            .collect()
    }

    /// Ends all daemons at once.
    pub(crate) fn end(&self) {
        self.instances.lock().drain(..).for_each(|instance| instance.daemon.kill());
    }
}

impl Backend {
    /// Returns the backend server as it is while it does not run.
    pub(crate) fn stopped(&self) -> Self {
        Self {
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            running: None,
            options: self.options,
            switches: self.switches,
        }
    }

    /// Starts the backend server on the address that it had.
    pub(crate) async fn start(&mut self, record: &RunRecord) -> Result<(), LabError> {
        let backend = MockBackendServer::start_on(self.address, self.options, record.clone())
            .await
            .map_err(LabError::Listen)?;
        backend.switch(|switches| *switches = self.switches);
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
    let any = || Some("127.0.0.1:0".to_owned());
    let secret = || Some(LAB_SECRET.to_owned());
    let raw = RawSettings {
        name: Some(name.to_string()),
        availability_zone: Some(zone.to_string()),
        caller_address: any(),
        peer_address: any(),
        admin_address: any(),
        platform_address: any(),
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

/// Starts a stand-in for every backend server and returns the text with their real addresses.
async fn start_backends(
    configuration: &Configuration,
    mut text: String,
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
                text = text.replace(&quoted(server.address), &quoted(backend.address));
                backends.push(backend);
            }
        }
    }
    Ok((backends, text))
}

fn new_backend(experiment: &Experiment, service: &Service, zone: Arc<str>, seed: u64) -> Backend {
    let time: Option<&ServiceTime> =
        experiment.service_times.iter().find(|time| *time.service == *service.name);
    let switches = time.map_or(BackendSwitches::default(), |time| BackendSwitches {
        queue_limit: time.queue_limit,
        cold_requests: time.cold_requests,
        cold_factor: time.cold_factor,
        ..BackendSwitches::default()
    });
    let mean_service_ms = time.map_or(DEFAULT_SERVICE_MS, |time| time.mean_ms);
    Backend {
        service: service.name.clone(),
        zone,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        running: None,
        options: BackendOptions { slots: service.slots_per_server, mean_service_ms, seed },
        switches,
    }
}

async fn accept(platform: &MockPlatform, text: &str) -> Result<(), LabError> {
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
