//! Starts a small deployment and runs the `runpin` binary against it.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use configuration::{MANIFEST_KEY, Manifest};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lab::{BackendOptions, MockBackendServer, MockPlatform, RunRecord};
use platform::{Expected, InstanceEntry, InstanceState, ObjectStore};
use runpind::connection::dialer::TcpDialer;
use runpind::process::clock::BootClock;
use runpind::settings::{RawSettings, Settings};
use runpind::{Daemon, Dependencies};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use steering::membership::MemberState;

pub(crate) const READ_TOKEN: &str = "read-token-for-tests";
pub(crate) const CHANGE_TOKEN: &str = "change-token-for-tests";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Two daemons in two availability zones, with a backend server in each zone.
pub(crate) struct Deployment {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) backends: Vec<MockBackendServer>,
    directory: tempfile::TempDir,
}

/// Output and exit code of a command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Deployment {
    /// Starts a deployment with version 1 in force.
    pub(crate) async fn start() -> Self {
        let deployment = Self::start_without_configuration().await;
        deployment.write_first_version(&deployment.configuration_text()).await;
        deployment.wait_for_version(1).await;
        deployment.wait_for_membership().await;
        deployment
    }

    /// Waits until each daemon knows that all daemons are serving.
    async fn wait_for_membership(&self) {
        let knows_all = |daemon: &Daemon| {
            let status = daemon.process().membership_status();
            status.by_state.get(&MemberState::Serving) == Some(&self.daemons.len())
        };
        while !self.daemons.iter().all(knows_all) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a deployment without a configuration.
    pub(crate) async fn start_without_configuration() -> Self {
        let mut backends = Vec::new();
        for seed in 0..2 {
            let options = BackendOptions { slots: 4, mean_service_ms: 1.0, seed };
            let backend = MockBackendServer::start(options, RunRecord::default()).await;
            backends.push(backend.expect("backend"));
        }
        let platform = Arc::new(MockPlatform::default());
        let mut daemons = Vec::new();
        for (name, zone) in [("one", "n1"), ("two", "s1")] {
            daemons.push(start_daemon(&platform, name, zone).await);
        }
        platform.set_entry_instances(daemons.iter().map(instance_entry).collect());
        let directory = tempfile::tempdir().expect("a directory");
        Self { platform, daemons, backends, directory }
    }

    pub(crate) fn configuration_text(&self) -> String {
        configuration_text(self.backends[0].address, self.backends[1].address)
    }

    /// Writes a file and returns its path.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }

    /// Creates a symbolic link in the working directory of the commands.
    pub(crate) fn link(&self, name: &str, target: &Path) {
        std::os::unix::fs::symlink(target, self.directory.path().join(name)).expect("linked");
    }

    /// Returns the metrics of the first instance.
    pub(crate) async fn metrics(&self) -> String {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
        let uri = format!("http://{}/metrics", self.daemons[0].admin_address());
        let response = client.get(uri.parse().expect("a URI")).await.expect("an answer");
        let body = response.into_body().collect().await.expect("a whole answer").to_bytes();
        String::from_utf8(body.into()).expect("text")
    }

    pub(crate) fn admin_addresses(&self) -> String {
        let addresses = self.daemons.iter().map(|daemon| daemon.admin_address().to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Runs `runpin` with the instances and tokens of the deployment in its environment.
    pub(crate) async fn runpin(&self, arguments: &[&str]) -> CommandOutput {
        let environment = [
            ("RUNPIN_INSTANCE", self.admin_addresses()),
            ("RUNPIN_READ_TOKEN", READ_TOKEN.to_owned()),
            ("RUNPIN_CHANGE_TOKEN", CHANGE_TOKEN.to_owned()),
            ("USER", "operator".to_owned()),
        ];
        run_in(self.directory.path(), arguments, &environment).await
    }

    /// Writes a configuration to the platform as version 1.
    pub(crate) async fn write_first_version(&self, text: &str) {
        let manifest = Manifest {
            number: 1,
            write_id: "test".into(),
            author: "test".into(),
            text: text.into(),
            ..Manifest::default()
        };
        let value = manifest.to_json().expect("manifest").into();
        self.platform.put(MANIFEST_KEY, value, Expected::Absent).await.expect("accepted");
    }

    /// Waits until each daemon has the version in force, knows both instances and can use its shares.
    pub(crate) async fn wait_for_version(&self, number: u64) {
        let is_ready = |daemon: &Daemon| {
            let process = daemon.process();
            let members = process.members.load_full();
            process.version.load().as_ref().is_some_and(|version| version.number >= number)
                && members.is_some_and(|members| members.members.len() == 2)
                && process.shares.is_ready(process.clock.now())
        };
        while !self.daemons.iter().all(is_ready) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until each daemon holds the session of its availability zone and has a slot.
    pub(crate) async fn wait_for_sessions(&self) {
        let has_session = |daemon: &Daemon| {
            let process = daemon.process();
            let status = process.shares.status(process.clock.now());
            status.session.held && status.slot.is_some()
        };
        while !self.daemons.iter().all(has_session) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of the version in the platform; 0 when there is none.
    pub(crate) async fn accepted_number(&self) -> u64 {
        let object = self.platform.get(MANIFEST_KEY).await.expect("the platform answers");
        object.map_or(0, |object| Manifest::from_json(&object.value).expect("manifest").number)
    }
}

/// Runs `runpin` with no environment variables other than `environment`.
pub(crate) async fn runpin(arguments: &[&str], environment: &[(&str, String)]) -> CommandOutput {
    run_in(&std::env::temp_dir(), arguments, environment).await
}

async fn run_in(
    directory: &Path,
    arguments: &[&str],
    environment: &[(&str, String)],
) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_runpin"));
    command.args(arguments).env_clear().current_dir(directory);
    command.envs(environment.iter().map(|(name, value)| (*name, value)));
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("joined").expect("runpin starts");
    CommandOutput {
        code: output.status.code().expect("not killed"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

async fn start_daemon(platform: &Arc<MockPlatform>, name: &str, zone: &str) -> Daemon {
    let any_port = || Some("127.0.0.1:0".to_owned());
    let raw = RawSettings {
        name: Some(name.to_owned()),
        availability_zone: Some(zone.to_owned()),
        caller_address: any_port(),
        peer_address: any_port(),
        admin_address: any_port(),
        platform_address: any_port(),
        peer_keys: Some("0123456789abcdef".to_owned()),
        read_token: Some(READ_TOKEN.to_owned()),
        change_token: Some(CHANGE_TOKEN.to_owned()),
        trust_caller_header: Some("true".to_owned()),
        ..RawSettings::default()
    };
    let dependencies = Dependencies {
        store: platform.clone(),
        directory: platform.clone(),
        dialer: Arc::new(TcpDialer),
        clock: Arc::new(BootClock),
    };
    let settings = Settings::try_from(raw).expect("settings");
    Daemon::start(settings, dependencies).await.expect("daemon")
}

fn instance_entry(daemon: &Daemon) -> InstanceEntry {
    let settings = &daemon.process().settings;
    InstanceEntry {
        name: settings.name.clone(),
        availability_zone: settings.availability_zone.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        state: InstanceState::Live,
    }
}

fn configuration_text(first: SocketAddr, second: SocketAddr) -> String {
    format!(
        r#"[deployment]
name = "small"
lookup_ttl_ms = 1000
lookup_instances = 2
idempotency_key_ttl_ms = 60000

[[region]]
name = "north"
availability_zones = ["n1"]

[[region]]
name = "south"
availability_zones = ["s1"]

[delays]
same_region_ms = 1.0
between_regions_ms = 30.0
client_ms = 2.0

[[service]]
name = "files"
path_prefix = "/files"
slots_per_server = 4
target_utilization = 1.0

[[service.route]]
method = "GET"
path_prefix = "/files"
class = "read"

[[service.site]]
availability_zone = "n1"
backend_servers = ["{first}"]

[[service.site]]
availability_zone = "s1"
backend_servers = ["{second}"]

[link_defaults]
cap_requests_per_s = 1000
floor_percent = 40.0
instance_slots = 4
shift_percent_per_s = 100.0
"#
    )
}

/// Sends requests to each instance, one at a time, until dropped.
pub(crate) struct Traffic(Vec<tokio::task::JoinHandle<()>>);

impl Traffic {
    pub(crate) fn start(deployment: &Deployment) -> Self {
        let addresses = deployment.daemons.iter().map(|daemon| daemon.caller_address());
        Self(addresses.map(|address| tokio::spawn(send_requests(address))).collect())
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.0.iter().for_each(|task| task.abort());
    }
}

async fn send_requests(address: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    for number in (0_u8..100).cycle() {
        let request = Request::get(format!("http://{address}/files/1"))
            .header("runpin-caller-address", format!("100.64.0.{}", number))
            .body(Full::default())
            .expect("a request");
        let response = client.request(request).await.expect("an answer");
        response.into_body().collect().await.expect("a whole answer");
    }
}
