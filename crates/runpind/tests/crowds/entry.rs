//! Crowds at the listeners of an entry instance.

use crate::common::caller::{request_text, send};
use crate::common::objects::{configuration, register_in_zone, route, server_spec};
use crate::common::server::{MockBackendServer, ResponseMode};
use crate::common::store::MockStore;
use crate::crowd::{Crowd, chunks, ordinary_request};
use crate::measure::{FILE_DESCRIPTORS, open_descriptors, peak_memory_mb};
use crate::process::{host, spawn};
use crate::run;
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::process::Child;
use tokio::time::sleep;

/// Callers of a crowd that sends bodies.
const CALLERS: usize = 400;

/// Callers of a crowd that sends heads only.
const CALLERS_WITHOUT_BODY: usize = 1_000;

/// Callers of a crowd that says nothing, more than the descriptors of the instance.
const SILENT_CALLERS: usize = 600;

/// Backend servers.
const SERVERS: usize = 3;

/// Backend servers that an instance knows beside them, as in a large fleet.
const KNOWN_SERVERS: usize = 10_000;

/// Objects on a page of a list, as many as the platform's store sends.
const STORE_PAGE: usize = 500;

/// Environment variable that names another build of the daemon to test.
const BINARY_VARIABLE: &str = "RUNPIND_BINARY";

/// Requests by which an instance knows that another one relays.
const REQUESTS_UNTIL_RELAYED: usize = 60;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Seconds for which routes allow a request to last, longer than a test.
const TIMEOUT_S: f64 = 120.0;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Limits of the machine of an instance.
#[derive(Clone, Copy)]
pub(crate) struct Machine {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u32,
}

/// A machine whose memory a crowd with bodies exceeds.
pub(crate) const LITTLE_MEMORY: Machine = Machine { memory_mb: 64, descriptors: 4_100 };

/// A machine whose memory a crowd without bodies, or with small ones, exceeds.
const LEAST_MEMORY: Machine = Machine { memory_mb: 32, descriptors: 4_100 };

/// A machine whose memory a crowd exceeds beside the state of a large fleet, which takes up to 32 MB.
const MEMORY_OF_LARGE_STATE: Machine = Machine { memory_mb: 40, descriptors: 4_100 };

/// A machine whose descriptors a crowd without requests exceeds.
const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 64, descriptors: 512 };

/// Ports of an instance; instances differ in their hosts.
const CALLER_PORT: u16 = 7_300;
const READINESS_PORT: u16 = 7_301;
const LOOK_UP_PORT: u16 = 7_302;
const PEER_PORT: u16 = 7_303;
const OPERATOR_PORT: u16 = 7_304;

/// Requests that the listeners answer with 200.
const LISTENERS: [(u16, &str); 4] = [
    (READINESS_PORT, "/api/readiness"),
    (LOOK_UP_PORT, "/api/resolve?name=a.example&region=north&zone=north-a"),
    (PEER_PORT, "/v1/knowledge"),
    (OPERATOR_PORT, "/metrics"),
];

/// The store, and the backend servers that routes lead to.
struct Platform {
    store: Rc<MockStore>,
    servers: Vec<Rc<MockBackendServer>>,
}

impl Platform {
    /// Starts a store and backend servers in an availability zone.
    async fn start(zone: &str) -> Rc<Self> {
        let store = MockStore::start().await;
        let mut content = configuration("00000001", &routes());
        content["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
        content["limits"]["header_timeout_s"] = TIMEOUT_S.into();
        content["limits"]["idle_timeout_s"] = TIMEOUT_S.into();
        store.put("config", "main", content);
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let server = MockBackendServer::start(&format!("i-{number}")).await;
            register_in_zone(&store, &server, zone);
            servers.push(server);
        }
        Rc::new(Self { store, servers })
    }

    fn set_mode(&self, mode: ResponseMode) {
        self.servers.iter().for_each(|server| server.set_mode(mode));
    }
}

/// An instance as a real process.
pub(crate) struct Instance {
    machine: Machine,
    host: IpAddr,
    platform: Rc<Platform>,
    process: Child,
    _folder: tempfile::TempDir,
}

impl Instance {
    /// Starts an instance with backend servers in its availability zone, and waits until it is ready.
    pub(crate) async fn start(machine: Machine) -> Self {
        Self::start_in("north-a", machine, &Platform::start("north-a").await, None).await
    }

    /// Starts an instance in an availability zone that knows another one, and waits until it is ready.
    async fn start_in(
        zone: &str,
        machine: Machine,
        platform: &Rc<Platform>,
        seed: Option<&Instance>,
    ) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let host = host(STARTED.fetch_add(1, Ordering::Relaxed));
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("settings.json");
        let mut content = settings_of(zone, machine, host, platform.store.address);
        if let Some(seed) = seed {
            content["seeds"] = json!([SocketAddr::new(seed.host, PEER_PORT).to_string()]);
        }
        std::fs::write(&settings, content.to_string()).expect("the settings are written");
        let binary = std::env::var(BINARY_VARIABLE);
        let binary = binary.unwrap_or_else(|_| env!("CARGO_BIN_EXE_runpind").to_owned());
        let log = folder.path().join("log");
        let process = spawn(Path::new(&binary), &settings, &log, machine.descriptors)
            .expect("the instance starts");
        let platform = platform.clone();
        let instance = Self { machine, host, platform, process, _folder: folder };
        while instance.ask(READINESS_PORT, "/api/readiness").await != 200 {
            sleep(POLL_INTERVAL).await;
        }
        instance
    }

    /// Waits until what it tells operators contains a text.
    async fn wait_until_told(&self, path: &str, text: &str) {
        let operators = SocketAddr::new(self.host, OPERATOR_PORT);
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        while !String::from_utf8_lossy(&send(operators, &request).await.body).contains(text) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Adds backend servers to the store that no route leads to, and waits until the instance knows them.
    async fn know_many_servers(&self) {
        let store = &self.platform.store;
        store.page_size.set(STORE_PAGE);
        for number in 0..KNOWN_SERVERS {
            let address = SocketAddr::from(([127, 0, 0, 1], 9));
            let mut spec = server_spec(address, "south-a", "v1", "ready");
            spec["service"] = "other".into();
            store.put("servers", &format!("known-{number}"), spec);
        }
        let all = format!("\"backend_servers\":{}", KNOWN_SERVERS + SERVERS);
        self.wait_until_told("/v1/status", &all).await;
    }

    pub(crate) fn caller_address(&self) -> SocketAddr {
        (self.host, CALLER_PORT).into()
    }

    /// Sends a request to one of the listeners and returns the status.
    async fn ask(&self, port: u16, path: &str) -> u16 {
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        ordinary_request((self.host, port).into(), &text).await
    }

    /// Checks that an ordinary request of each kind of route is answered, and that the process lives and has kept
    /// to the limits of its machine.
    pub(crate) async fn assert_bears(&mut self) {
        let mut statuses = Vec::new();
        for (kind, length) in [("idempotent", 0), ("non_idempotent", 4_000), ("upload", 60_000)] {
            let body = "x".repeat(length);
            let length = format!("Content-Length: {length}\r\n");
            let text = request_text(kind, "ordinary", &length, &body);
            statuses.push(ordinary_request(self.caller_address(), &text).await);
        }
        self.assert_within_limits();
        assert_eq!(statuses, [200; 3], "responses to ordinary requests");
    }

    /// Checks that each of the other listeners answers.
    async fn assert_all_listeners_answer(&self) {
        let mut statuses = Vec::new();
        for (port, path) in LISTENERS {
            statuses.push(self.ask(port, path).await);
        }
        assert_eq!(statuses, [200; LISTENERS.len()], "responses of the other listeners");
    }

    /// Checks that the process lives and has kept to the limits of its machine.
    fn assert_within_limits(&mut self) {
        assert_eq!(self.process.try_wait().expect("its state is known"), None, "it lives");
        let process = self.process.id().expect("it lives");
        let memory_mb = peak_memory_mb(process).expect("it lives");
        let descriptors = open_descriptors(process).expect("it lives");
        println!("{memory_mb} MB at most, {descriptors} descriptors open");
        assert!(memory_mb <= self.machine.memory_mb, "{memory_mb} MB");
        let sockets = self.machine.descriptors as usize - FILE_DESCRIPTORS;
        assert!(descriptors <= sockets, "{descriptors} descriptors");
    }

    /// Checks that no request of a crowd has run that was promised not to.
    fn assert_promises_kept(&self, crowd: &Crowd) {
        let promised = crowd.promised_not_run();
        println!("{} were told that their request has not run", promised.len());
        for server in &self.platform.servers {
            for arrival in server.arrivals.borrow().iter() {
                let id = arrival.header("x-request-id").unwrap_or_default();
                assert!(!promised.iter().any(|promised| promised == id), "{id} has run");
            }
        }
    }
}

fn routes() -> [Value; 3] {
    ["idempotent", "non_idempotent", "upload"].map(|kind| route(kind, TIMEOUT_S))
}

fn settings_of(zone: &str, machine: Machine, host: IpAddr, store: SocketAddr) -> Value {
    let at = |port: u16| SocketAddr::new(host, port).to_string();
    json!({
        "name": format!("one-{zone}"),
        "availability_zone": zone,
        "regions": { "north-a": "north", "south-a": "south" },
        "caller_address": at(CALLER_PORT),
        "readiness_address": at(READINESS_PORT),
        "look_up_address": at(LOOK_UP_PORT),
        "peer_address": at(PEER_PORT),
        "first_port": OPERATOR_PORT,
        "store_address": store.to_string(),
        "retry_ratio": 0.2,
        "retry_extra": 64.0,
        "max_ttl_s": 5.0,
        "stop_grace_s": 6.0,
        "terms": {
            "machine": { "memory_mb": machine.memory_mb, "descriptors": machine.descriptors },
        },
    })
}

/// The head of a request of a crowd, which its caller would wait for as long as the test lasts.
pub(crate) fn crowd_head(kind: &str, headers: &str) -> String {
    let text = request_text(kind, "ID", headers, "");
    text.replace("X-Deadline-Ms: 3000", &format!("X-Deadline-Ms: {}", TIMEOUT_S * 1_000.0))
}

/// Plays a crowd whose bodies stop short of their end.
fn play_bodies(machine: Machine, kind: &str, headers: &str, body: &[u8]) {
    run(async {
        let mut instance = Instance::start(machine).await;

        let crowd =
            Crowd::gather(instance.caller_address(), CALLERS, &crowd_head(kind, headers), body)
                .await;

        instance.assert_bears().await;
        instance.assert_promises_kept(&crowd);
    });
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

#[test]
fn bodies_with_a_length_that_stop_a_byte_short() {
    play_bodies(LITTLE_MEMORY, "non_idempotent", "Content-Length: 262144\r\n", &[b'x'; 262_143]);
}

#[test]
fn bodies_in_large_chunks_that_stop_before_the_last_one() {
    play_bodies(LITTLE_MEMORY, "upload", CHUNKED, &chunks(262_000, 65_500));
}

#[test]
fn bodies_in_small_chunks_that_stop_before_the_last_one() {
    play_bodies(LITTLE_MEMORY, "upload", CHUNKED, &chunks(200_000, 100));
}

#[test]
fn bodies_in_chunks_of_one_byte_that_stop_before_the_last_one() {
    play_bodies(LEAST_MEMORY, "upload", CHUNKED, &chunks(100_000, 1));
}

#[test]
fn whole_bodies_that_servers_do_not_answer() {
    run(async {
        let mut instance = Instance::start(LITTLE_MEMORY).await;
        instance.platform.set_mode(ResponseMode::Held);
        let head = crowd_head("non_idempotent", "Content-Length: 262144\r\n");

        let crowd =
            Crowd::gather(instance.caller_address(), CALLERS, &head, &[b'x'; 262_144]).await;

        instance.assert_within_limits();
        instance.assert_promises_kept(&crowd);
        drop(crowd);
        instance.platform.set_mode(ResponseMode::Success);
        instance.assert_bears().await;
    });
}

#[test]
fn whole_bodies_through_a_relay_that_servers_do_not_answer() {
    run(async {
        let platform = Platform::start("south-a").await;
        let mut relay = Instance::start_in("south-a", LITTLE_MEMORY, &platform, None).await;
        let mut sender =
            Instance::start_in("north-a", LITTLE_MEMORY, &platform, Some(&relay)).await;
        let to = sender.caller_address();
        let text = request_text("idempotent", "first", "", "");
        let passed_on = "runpin_entry_relayed_total{outcome=\"passed-on\"}";
        tokio::join!(relay.wait_until_told("/metrics", passed_on), async {
            // The sender uses the relay from when it knows that it serves.
            for _ in 0..REQUESTS_UNTIL_RELAYED {
                ordinary_request(to, &text).await;
                sleep(POLL_INTERVAL).await;
            }
        });
        platform.set_mode(ResponseMode::Held);
        let head = crowd_head("non_idempotent", "Content-Length: 200000\r\n");

        let crowd = Crowd::gather(to, CALLERS, &head, &[b'x'; 200_000]).await;

        relay.assert_within_limits();
        sender.assert_within_limits();
        sender.assert_promises_kept(&crowd);
        drop(crowd);
        platform.set_mode(ResponseMode::Success);
        sender.assert_bears().await;
        relay.assert_bears().await;
    });
}

#[test]
fn heads_without_end() {
    run(async {
        let mut instance = Instance::start(LEAST_MEMORY).await;
        let head = request_text("idempotent", "ID", "", "");
        let head = format!("{}X-Long: {}", &head[..head.len() - 2], "a".repeat(15_000));

        let _crowd =
            Crowd::gather(instance.caller_address(), CALLERS_WITHOUT_BODY, &head, &[]).await;

        instance.assert_bears().await;
        instance.assert_all_listeners_answer().await;
    });
}

/// Plays a crowd that connects to a listener and says nothing.
fn play_silent(port: u16) {
    run(async {
        let mut instance = Instance::start(FEW_DESCRIPTORS).await;

        let to = SocketAddr::new(instance.host, port);
        let _crowd = Crowd::gather(to, SILENT_CALLERS, "", &[]).await;

        instance.assert_bears().await;
        instance.assert_all_listeners_answer().await;
    });
}

#[test]
fn silent_connections_of_callers() {
    play_silent(CALLER_PORT);
}

#[test]
fn silent_connections_for_look_ups() {
    play_silent(LOOK_UP_PORT);
}

#[test]
fn silent_connections_for_readiness() {
    play_silent(READINESS_PORT);
}

#[test]
fn silent_connections_of_instances() {
    play_silent(PEER_PORT);
}

#[test]
fn silent_connections_of_operators() {
    play_silent(OPERATOR_PORT);
}

#[test]
fn responses_that_callers_do_not_read() {
    run(async {
        let mut instance = Instance::start(LEAST_MEMORY).await;
        let body = "x".repeat(120_000);
        let servers = &instance.platform.servers;
        servers.iter().for_each(|server| drop(server.body.replace(body.clone())));
        let requests = crowd_head("idempotent", "").repeat(8);

        let _crowd = Crowd::gather_deaf(instance.caller_address(), CALLERS, &requests).await;

        instance.assert_bears().await;
    });
}

#[test]
fn updates_of_instances_that_are_not_read() {
    run(async {
        let mut instance = Instance::start(MEMORY_OF_LARGE_STATE).await;
        instance.know_many_servers().await;
        let request = "GET /v1/knowledge HTTP/1.1\r\nHost: x\r\n\r\n";

        let to = SocketAddr::new(instance.host, PEER_PORT);
        let _crowd = Crowd::gather_deaf(to, CALLERS_WITHOUT_BODY, request).await;

        instance.assert_bears().await;
        instance.assert_all_listeners_answer().await;
        instance.assert_within_limits();
    });
}

/// A single request at the limits is served when nothing else is under way.
#[test]
fn single_requests_at_the_limits_are_served() {
    run(async {
        let mut instance = Instance::start(LITTLE_MEMORY).await;
        let to = instance.caller_address();
        let long = vec![b'x'; MAX_BODY_BYTES];
        let mut chunked = chunks(262_144, 65_536);
        chunked.extend(b"0\r\n\r\n");
        let length = |bytes: usize| format!("Content-Length: {bytes}\r\n");
        let requests = [
            (length(262_144), &long[..262_144]),
            (length(262_145), &long[..262_145]),
            (CHUNKED.to_owned(), &chunked),
            (length(MAX_BODY_BYTES), &long),
        ];

        for (headers, body) in requests {
            let head = crowd_head("upload", &headers);
            assert_eq!(Crowd::send_whole(to, &head, body).await, 200, "{headers}");
        }

        instance.assert_within_limits();
    });
}
