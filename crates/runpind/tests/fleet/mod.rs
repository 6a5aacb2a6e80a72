//! Daemons as tasks of the test, with a backend server that counts the requests it runs.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use bytes::Bytes;
use configuration::{MANIFEST_KEY, Manifest};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo};
use lab::MockPlatform;
use parking_lot::Mutex;
use platform::{Expected, InstanceEntry, InstanceState, ObjectStore};
use runpind::process::clock::BootClock;
use runpind::settings::{LogFormat, Secret};
use runpind::{Daemon, Dependencies, Settings, TcpDialer};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::ledger::Fingerprint;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

const SECRET: &str = "0123456789abcdef";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A backend server whose behaviour depends on the path.
///
/// It runs `/files/ok` and responds, runs `/files/lost` and closes the connection, runs
/// `/files/large` and responds with a large body, runs `/files/gate` and responds once the gate is
/// open, and sheds `/files/shed` without running it.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    state: Arc<FakeState>,
}

struct FakeState {
    runs: Mutex<HashMap<String, u32>>,
    gate: Semaphore,
}

/// Size of the response body of `/files/large`, in bytes.
pub(crate) const LARGE_BYTES: usize = 200_000;

impl FakeServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let state = Arc::new(FakeState { runs: Mutex::default(), gate: Semaphore::new(0) });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                let service = service_fn(move |request| fake_response(shared.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Self { address, state }
    }

    pub(crate) fn times_run(&self, key: &str) -> u32 {
        self.state.runs.lock().get(key).copied().unwrap_or(0)
    }

    pub(crate) async fn wait_until_run(&self, key: &str) {
        while self.times_run(key) == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) fn open_gate(&self) {
        self.state.gate.add_permits(1_000);
    }
}

async fn fake_response(
    state: Arc<FakeState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let _ = request.into_body().collect().await;
    let mut response = Response::new(Full::default());
    if path == "/files/shed" {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    }
    let times = {
        let mut runs = state.runs.lock();
        let times = runs.entry(key).or_default();
        *times += 1;
        *times
    };
    *response.status_mut() = StatusCode::CREATED;
    *response.body_mut() = format!("run {times}").into();
    match path.as_str() {
        "/files/lost" => return Err(std::io::Error::other("the response is lost")),
        "/files/large" => *response.body_mut() = vec![b'x'; LARGE_BYTES].into(),
        "/files/gate" => drop(state.gate.acquire().await),
        _ => {}
    }
    Ok(response)
}

/// A response read to its end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) outcome: Option<String>,
    pub(crate) text: String,
}

/// A deployment with one availability zone and one service, `files`.
pub(crate) struct Fleet {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) server: FakeServer,
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Mutex<Vec<InstanceEntry>>,
}

impl Fleet {
    pub(crate) async fn start() -> Self {
        let server = FakeServer::start().await;
        let platform = Arc::new(MockPlatform::default());
        let manifest = Manifest {
            number: 1,
            write_id: "test".into(),
            author: "test".into(),
            applied_at_s: 0,
            text: configuration_text(server.address).into(),
            chunks: Vec::new(),
            ..Manifest::default()
        };
        let value = manifest.to_json().expect("manifest").into();
        platform.put(MANIFEST_KEY, value, Expected::Absent).await.expect("accepted");
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { platform, server, client, entries: Mutex::default() }
    }

    pub(crate) async fn start_daemon(&self, name: &str) -> Daemon {
        self.start_daemon_on(name, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts a daemon on the address of an earlier one, once the address is free.
    pub(crate) async fn restart_daemon(&self, name: &str, address: SocketAddr) -> Daemon {
        let is_free = || std::net::TcpListener::bind(address).is_ok();
        self.wait_until(is_free).await;
        self.start_daemon_on(name, address).await
    }

    /// Waits until each of the daemons has all of them in its member list.
    pub(crate) async fn wait_until_listed(&self, daemons: &[&Daemon]) {
        let has = |daemon: &Daemon, other: &Daemon| {
            daemon.process().members.load().as_ref().is_some_and(|list| {
                list.members.iter().any(|member| member.peer_address == other.peer_address())
            })
        };
        let all_listed =
            || daemons.iter().all(|daemon| daemons.iter().all(|other| has(daemon, other)));
        self.wait_until(all_listed).await;
    }

    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Fills the ledger of a daemon with keys.
    pub(crate) fn fill_ledger(&self, daemon: &Daemon) {
        let ledger = &daemon.process().ledger;
        let version = daemon.process().version.load_full().expect("a version");
        for number in 0..ledger.status().max_keys {
            let key = new_key(daemon, &number.to_string()).parse().expect("a key");
            ledger.begin(&version, &key, Fingerprint(0));
        }
    }

    async fn start_daemon_on(&self, name: &str, caller_address: SocketAddr) -> Daemon {
        let dependencies = Dependencies {
            store: self.platform.clone(),
            directory: self.platform.clone(),
            dialer: Arc::new(TcpDialer),
            clock: Arc::new(BootClock),
        };
        let settings = settings(name, caller_address);
        let daemon = Daemon::start(settings, dependencies).await.expect("daemon starts");
        self.register(name, &daemon);
        let process = daemon.process();
        let listed =
            || process.members.load().as_ref().is_some_and(|list| !list.members.is_empty());
        let has_shares = || process.shares.is_ready(process.clock.now());
        while process.version.load().is_none() || !listed() || !has_shares() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        daemon
    }

    /// Adds a daemon to the platform's list of instances, or replaces its entry.
    fn register(&self, name: &str, daemon: &Daemon) {
        let mut entries = self.entries.lock();
        entries.retain(|entry| &*entry.name != name);
        entries.push(InstanceEntry {
            name: name.into(),
            availability_zone: "n1".into(),
            caller_address: daemon.caller_address(),
            peer_address: daemon.process().settings.peer_address,
            state: InstanceState::Live,
        });
        self.platform.set_entry_instances(entries.clone());
    }

    pub(crate) async fn send(&self, to: SocketAddr, path: &str, key: &str) -> ReceivedResponse {
        self.try_send(to, path, key).await.expect("a response")
    }

    pub(crate) async fn try_send(
        &self,
        to: SocketAddr,
        path: &str,
        key: &str,
    ) -> Option<ReceivedResponse> {
        self.exchange(to, path, &[("idempotency-key", key)]).await
    }

    pub(crate) async fn send_forwarded(
        &self,
        to: SocketAddr,
        path: &str,
        key: &str,
    ) -> ReceivedResponse {
        let headers = [("idempotency-key", key), ("runpin-forwarded-by", "0000000000000001")];
        self.exchange(to, path, &headers).await.expect("a response")
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<ReceivedResponse> {
        let request = Request::builder().method(Method::POST).uri(format!("http://{to}{path}"));
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let request = request.body(Full::from("body")).expect("request");
        let response = self.client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let outcome = response.headers().get("runpin-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(ReceivedResponse {
            status,
            outcome,
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Returns a new idempotency key whose home is the daemon.
pub(crate) fn new_key(daemon: &Daemon, name: &str) -> String {
    let process = daemon.process();
    format!("{}{name}", process.ledger.prefix(process.incarnation))
}

fn settings(name: &str, caller_address: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.into(),
        availability_zone: "n1".into(),
        caller_address,
        peer_address: any,
        admin_address: any,
        platform_address: any,
        peer_keys: vec![Secret::from(SECRET)],
        read_token: Secret::from(SECRET),
        change_token: Secret::from(SECRET),
        log_format: LogFormat::Text,
        drain_timeout_ms: 10_000,
        drain_notice_ms: 0,
        memory_mb: 160,
        trust_caller_header: true,
    }
}

fn configuration_text(backend_server: SocketAddr) -> String {
    format!(
        r#"
[deployment]
name = "small"
lookup_ttl_ms = 1000
lookup_instances = 2
idempotency_key_ttl_ms = 60000

[[region]]
name = "north"
availability_zones = ["n1"]

[delays]
same_region_ms = 1.0
between_regions_ms = 30.0
client_ms = 2.0

[[service]]
name = "files"
path_prefix = "/files"
slots_per_server = 100
target_utilization = 1.0
shed_status_not_run = true

[[service.site]]
availability_zone = "n1"
backend_servers = ["{backend_server}"]

[link_defaults]
cap_requests_per_s = 1000
floor_percent = 50.0
instance_slots = 8
shift_percent_per_s = 100.0
"#
    )
}

/// Sets the incarnations and the taken over homes of all daemons in each one's member list.
pub(crate) fn share_incarnations(daemons: &[&Daemon]) {
    for daemon in daemons {
        let process = daemon.process();
        let mut members =
            process.members.load_full().map_or_else(Default::default, |list| (*list).clone());
        for member in &mut members.members {
            let has_address = |other: &&&Daemon| other.caller_address() == member.caller_address;
            if let Some(other) = daemons.iter().find(has_address) {
                member.incarnation = Some(other.process().incarnation);
                member.successor_of = other.process().ledger.taken_over_homes();
            }
        }
        process.members.store(Some(Arc::new(members)));
    }
}
