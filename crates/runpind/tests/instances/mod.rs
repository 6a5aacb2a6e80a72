//! Runs the configuration distribution of several instances and a mock platform in one process.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use async_trait::async_trait;
use bytes::Bytes;
use lab::MockPlatform;
use parking_lot::Mutex;
use peer::{LocalPeers, PeerClient, PeerEndpoint, PeerError, Reply, Request, Sender};
use platform::{Expected, Object, ObjectStore, StoreError, UnavailableCause, Version, WatchBatch};
use runpind::TcpDialer;
use runpind::process::Process;
use runpind::process::acceptance::{Change, Proposal};
use runpind::process::clock::Clock;
use runpind::process::configuration::metrics::ConfigurationMetrics;
use runpind::process::configuration::watch;
use runpind::process::membership::{Member, Members};
use runpind::process::metrics::Metrics;
use runpind::process::peers::PeerRequestHandler;
use runpind::settings::{LogFormat, Secret, Settings};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::{Incarnation, Time};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Name of the platform as an end of a network partition.
pub(crate) const PLATFORM: &str = "platform";

const SECRET: &str = "0123456789abcdef";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Two ends of a network partition: availability zones, or the platform.
type Pair = (Arc<str>, Arc<str>);

/// Network partitions between availability zones and the platform, and the one-way delay.
#[derive(Default)]
pub(crate) struct Partitions {
    pairs: Mutex<HashSet<Pair>>,
    delay: Mutex<Duration>,
}

impl Partitions {
    pub(crate) fn set(&self, a: &str, b: &str, is_cut: bool) {
        let mut pairs = self.pairs.lock();
        for pair in [(a.into(), b.into()), (b.into(), a.into())] {
            if is_cut {
                pairs.insert(pair)
            } else {
                pairs.remove(&pair)
            };
        }
    }

    pub(crate) fn heal(&self) {
        self.pairs.lock().clear();
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        *self.delay.lock() = delay;
    }

    /// Waits for the one-way delay and returns whether a message gets through.
    async fn deliver(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        let delay = *self.delay.lock();
        tokio::time::sleep(delay).await;
        !self.pairs.lock().contains(&(from.clone(), to.clone()))
    }
}

/// The platform as seen from an availability zone.
struct ZoneStore {
    platform: Arc<dyn ObjectStore>,
    zone: Arc<str>,
    partitions: Arc<Partitions>,
}

impl ZoneStore {
    async fn cross_network(&self) -> Result<(), StoreError> {
        match self.partitions.deliver(&self.zone, &PLATFORM.into()).await {
            true => Ok(()),
            false => Err(StoreError::Unavailable(UnavailableCause::Connect)),
        }
    }
}

#[async_trait]
impl ObjectStore for ZoneStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.cross_network().await?;
        self.platform.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.cross_network().await?;
        self.platform.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.cross_network().await?;
        self.platform.put(key, value, expected).await
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.cross_network().await?;
        self.platform.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.cross_network().await?;
        let batch = self.platform.watch(prefix, after, wait).await;
        // A partition blocks the response as well.
        self.cross_network().await?;
        batch
    }
}

/// Peers as seen from an availability zone.
struct ZonePeers<C> {
    client: C,
    zone: Arc<str>,
    partitions: Arc<Partitions>,
}

#[async_trait]
impl<C: PeerClient> PeerClient for ZonePeers<C> {
    async fn call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError> {
        if !self.partitions.deliver(&self.zone, &to.availability_zone).await {
            return Err(PeerError::Unreachable);
        }
        let reply = self.client.call(to, request).await;
        match self.partitions.deliver(&to.availability_zone, &self.zone).await {
            true => reply,
            false => Err(PeerError::Timeout),
        }
    }
}

/// A clock that follows tokio's clock, which a test can pause.
struct TokioClock(Instant);

impl Clock for TokioClock {
    fn now(&self) -> Time {
        Time::from_ms(1_000) + self.0.elapsed()
    }
}

/// The configuration distribution of one instance.
pub(crate) struct Node {
    pub(crate) process: Arc<Process>,
    task: JoinHandle<()>,
}

impl Node {
    pub(crate) fn number(&self) -> u64 {
        self.process.version.load().as_ref().map_or(0, |version| version.number)
    }

    pub(crate) async fn wait_for(&self, number: u64) {
        while self.number() < number {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The instances, the platform and the network between them.
pub(crate) struct Fleet {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) partitions: Arc<Partitions>,
    pub(crate) nodes: BTreeMap<Arc<str>, Node>,
    peers: LocalPeers,
    members: Vec<Member>,
    started: Instant,
    incarnations: u64,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            platform: Arc::default(),
            partitions: Arc::default(),
            nodes: BTreeMap::new(),
            peers: LocalPeers::default(),
            members: Vec::new(),
            started: Instant::now(),
            incarnations: 0,
        }
    }

    /// Starts `per_zone` instances in each of the availability zones `z0`, `z1` and so on.
    pub(crate) fn with_zones(zones: usize, per_zone: usize) -> Self {
        let mut fleet = Self::new();
        for zone in 0..zones {
            for number in 0..per_zone {
                fleet.start(&format!("z{zone}-{number}"), &format!("z{zone}"));
            }
        }
        fleet
    }

    /// Starts an instance, or restarts a killed one with a new incarnation.
    pub(crate) fn start(&mut self, name: &str, zone: &str) {
        self.incarnations += 1;
        let (name, zone): (Arc<str>, Arc<str>) = (name.into(), zone.into());
        let incarnation = Incarnation(self.incarnations);
        let client = self.peers.client(Sender {
            name: name.clone(),
            availability_zone: zone.clone(),
            incarnation: incarnation.0,
        });
        let peers = ZonePeers { client, zone: zone.clone(), partitions: self.partitions.clone() };
        let store = self.store_from(&zone);
        let metrics = Metrics::new().expect("metrics");
        let configuration_metrics = ConfigurationMetrics::new(metrics.registry()).expect("metrics");
        let process = Process::new(
            settings(&name, &zone),
            incarnation,
            Arc::new(TokioClock(self.started)),
            Arc::new(TcpDialer),
            store,
            Arc::new(peers),
            metrics,
        );
        let process = Arc::new(process.expect("metrics"));
        let address = self.register_member(&name, &zone);
        self.peers.insert(address, Arc::new(PeerRequestHandler::new(process.clone())));
        let task = tokio::spawn(watch::run(process.clone(), configuration_metrics));
        self.nodes.insert(name, Node { process, task });
        self.publish_members();
    }

    /// Stops an instance abruptly; it stays in the list of instances.
    pub(crate) async fn kill(&mut self, name: &str) {
        let Some(node) = self.nodes.remove(name) else { return };
        node.task.abort();
        // An aborted task returns an error.
        let _ = node.task.await;
        let member = self.members.iter().find(|member| &*member.name == name);
        if let Some(member) = member {
            self.peers.remove(member.peer_address);
        }
    }

    /// Returns the platform as seen from an availability zone.
    pub(crate) fn store_from(&self, zone: &str) -> Arc<dyn ObjectStore> {
        let platform = self.platform.clone();
        Arc::new(ZoneStore { platform, zone: zone.into(), partitions: self.partitions.clone() })
    }

    /// Waits until all instances have a version with at least this number.
    pub(crate) async fn wait_for(&self, number: u64) {
        for node in self.nodes.values() {
            node.wait_for(number).await;
        }
    }

    /// Adds an instance to the member list, if it is new, and returns its peer address.
    fn register_member(&mut self, name: &Arc<str>, zone: &Arc<str>) -> SocketAddr {
        if let Some(member) = self.members.iter().find(|member| member.name == *name) {
            return member.peer_address;
        }
        let port = u16::try_from(self.members.len() + 1).expect("few instances");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        self.members.push(Member {
            name: name.clone(),
            availability_zone: zone.clone(),
            caller_address: address,
            peer_address: address,
            incarnation: None,
            successor_of: Vec::new(),
            usable: true,
        });
        self.members.sort_by(|a, b| a.name.cmp(&b.name));
        address
    }

    fn publish_members(&self) {
        let members = Arc::new(Members { members: self.members.clone() });
        for node in self.nodes.values() {
            node.process.members.store(Some(members.clone()));
        }
    }
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
        peer_keys: vec![Secret::from(SECRET)],
        read_token: Secret::from(SECRET),
        change_token: Secret::from(SECRET),
        log_format: LogFormat::Text,
        drain_timeout_ms: 1_000,
        drain_notice_ms: 0,
        memory_mb: 160,
        trust_caller_header: false,
    }
}

/// Returns a configuration text with three availability zones.
pub(crate) fn configuration_text() -> String {
    r#"
[deployment]
name = "small"
lookup_ttl_ms = 1000
lookup_instances = 2
idempotency_key_ttl_ms = 60000

[[region]]
name = "north"
availability_zones = ["z0", "z1", "z2"]

[delays]
same_region_ms = 1.0
between_regions_ms = 30.0
client_ms = 2.0

[link_defaults]
cap_requests_per_s = 1000
floor_percent = 40.0
instance_slots = 4
shift_percent_per_s = 100.0
"#
    .to_owned()
}

pub(crate) fn proposal(author: &str) -> Proposal {
    proposal_of(author, &configuration_text(), None)
}

pub(crate) fn proposal_of(author: &str, text: &str, blocks: Option<&str>) -> Proposal {
    let change = Change::Text { text: text.into(), blocks: blocks.map(Arc::from) };
    Proposal { change, author: author.into(), expected_number: None, dry_run: false }
}
