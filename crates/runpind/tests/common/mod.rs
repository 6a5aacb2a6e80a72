//! Test support for the `runpind` binary and its mock platform and backend server.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub(crate) mod raw;
pub(crate) mod task;

use configuration::{MANIFEST_KEY, Manifest};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lab::{BackendOptions, MockBackendServer, MockPlatform, RunRecord, serve_platform};
use platform::{Expected, InstanceEntry, InstanceState, ObjectStore};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// All keys and tokens.
pub(crate) const SECRET: &str = "0123456789abcdef";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The mock platform and the mock backend server that a daemon needs.
pub(crate) struct Deployment {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) platform_address: SocketAddr,
    pub(crate) backend: MockBackendServer,
    pub(crate) record: RunRecord,
}

impl Deployment {
    pub(crate) async fn start() -> Self {
        let record = RunRecord::default();
        let options = BackendOptions { slots: 4, mean_service_ms: 1.0, seed: 1 };
        let backend = MockBackendServer::start(options, record.clone()).await.expect("backend");
        let platform = Arc::new(MockPlatform::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("platform listener");
        let platform_address = listener.local_addr().expect("platform address");
        tokio::spawn(serve_platform(listener, platform.clone()));
        accept_configuration(&platform, &configuration_text(backend.address)).await;
        Self { platform, platform_address, backend, record }
    }

    /// Starts with another configuration, built from the backend server's address.
    pub(crate) async fn start_with(text: impl Fn(SocketAddr) -> String) -> Self {
        let mut deployment = Self::start().await;
        let platform = Arc::new(MockPlatform::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("platform listener");
        deployment.platform_address = listener.local_addr().expect("platform address");
        tokio::spawn(serve_platform(listener, platform.clone()));
        accept_configuration(&platform, &text(deployment.backend.address)).await;
        deployment.platform = platform;
        deployment
    }
}

/// A configuration with one availability zone and one service, `files`.
pub(crate) fn configuration_text(backend_server: SocketAddr) -> String {
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
slots_per_server = 4
target_utilization = 1.0

[[service.route]]
method = "GET"
path_prefix = "/files"
class = "read"

[[service.route]]
method = "PUT"
path_prefix = "/files"
class = "upload"

[[service.site]]
availability_zone = "n1"
backend_servers = ["{backend_server}"]

[link_defaults]
cap_requests_per_s = 1000
floor_percent = 40.0
instance_slots = 4
shift_percent_per_s = 100.0
"#
    )
}

/// Stores a configuration text on the platform as version 1.
pub(crate) async fn accept_configuration(platform: &MockPlatform, text: &str) {
    let manifest = Manifest {
        number: 1,
        write_id: "test".into(),
        author: "test".into(),
        applied_at_s: 0,
        text: text.into(),
        chunks: Vec::new(),
        retired: Vec::new(),
        drains: Vec::new(),
    };
    let value = manifest.to_json().expect("manifest").into();
    platform.put(MANIFEST_KEY, value, Expected::Absent).await.expect("accepted");
}

/// A running `runpind`, killed when dropped.
pub(crate) struct DaemonProcess {
    child: Child,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    /// Reserves the ports while the process may listen on them.
    _reserved: [Socket; 3],
}

/// A response read to its end.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl DaemonProcess {
    pub(crate) async fn start(deployment: &Deployment) -> Self {
        Self::start_with(deployment, Command::new(env!("CARGO_BIN_EXE_runpind"))).await
    }

    /// Starts with lowered limits of memory and descriptors.
    pub(crate) async fn start_limited(
        deployment: &Deployment,
        memory_mb: u64,
        descriptors: usize,
    ) -> Self {
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"")])
            .arg(env!("CARGO_BIN_EXE_runpind"))
            .env("RUNPIND_MEMORY_MB", memory_mb.to_string());
        Self::start_with(deployment, command).await
    }

    async fn start_with(deployment: &Deployment, mut command: Command) -> Self {
        let (reserved, [caller_address, peer_address, admin_address]) = reserve_ports();
        deployment.platform.set_entry_instances(vec![InstanceEntry {
            name: "one".into(),
            availability_zone: "n1".into(),
            caller_address,
            peer_address,
            state: InstanceState::Live,
        }]);
        let child = command
            .args(["--name", "one", "--availability-zone", "n1"])
            .args(["--caller-address", &caller_address.to_string()])
            .args(["--peer-address", &peer_address.to_string()])
            .args(["--admin-address", &admin_address.to_string()])
            .args(["--platform-address", &deployment.platform_address.to_string()])
            .args(["--peer-keys", SECRET, "--read-token", SECRET, "--change-token", SECRET])
            .stderr(Stdio::null())
            .spawn()
            .expect("runpind starts");
        let daemon =
            Self { child, caller_address, peer_address, admin_address, _reserved: reserved };
        daemon.wait_ready().await;
        daemon
    }

    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    pub(crate) fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Its process ID, if it has not exited.
    pub(crate) fn running_id(&mut self) -> Option<u32> {
        let status = self.child.try_wait().expect("status");
        status.is_none().then(|| self.child.id())
    }

    pub(crate) async fn get(&self, path: &str) -> Response {
        get(self.caller_address, path).await.expect("a response")
    }

    pub(crate) fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("signal sent");
    }

    /// Waits until the daemon refuses connections of callers.
    pub(crate) async fn wait_until_refusing_connections(&self) {
        while TcpStream::connect(self.caller_address).await.is_ok() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn exit_status(&mut self) -> ExitStatus {
        loop {
            match self.child.try_wait().expect("status") {
                Some(status) => return status,
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Sends a text with `PUT` to the address for operators and returns the response status.
    pub(crate) async fn put_admin(&self, path: &str, text: &str) -> u16 {
        let request = hyper::Request::put(format!("http://{}{path}", self.admin_address))
            .header("authorization", format!("Bearer {SECRET}"))
            .body(Full::new(bytes::Bytes::from(text.to_owned())))
            .expect("a request");
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
        client.request(request).await.expect("a response").status().as_u16()
    }

    /// Waits until the metrics contain a line.
    pub(crate) async fn wait_for_metric(&self, line: &str) {
        loop {
            let metrics = get(self.admin_address, "/metrics").await;
            if metrics.is_some_and(|metrics| metrics.text.lines().any(|found| found == line)) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_ready(&self) {
        loop {
            let ready = get(self.admin_address, "/readyz").await;
            let lookup = get(self.caller_address, "/lookup?service=files").await;
            let listed = lookup.is_some_and(|lookup| lookup.text.contains("weight"));
            if listed && ready.is_some_and(|ready| ready.status == 200) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An upload whose body is sent in pieces.
pub(crate) struct Upload {
    stream: TcpStream,
}

impl Upload {
    pub(crate) async fn start(daemon: &DaemonProcess, bytes: usize) -> Self {
        let mut stream = TcpStream::connect(daemon.caller_address).await.expect("connected");
        let head = format!("PUT /files/1 HTTP/1.1\r\nHost: x\r\nContent-Length: {bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("head sent");
        Self { stream }
    }

    pub(crate) async fn send(&mut self, bytes: usize) {
        self.stream.write_all(&vec![b'x'; bytes]).await.expect("body sent");
    }

    pub(crate) async fn finish(mut self) -> String {
        let mut response = String::new();
        self.stream.read_to_string(&mut response).await.expect("response read");
        response
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let uri = format!("http://{address}{path}").parse().ok()?;
    let response = client.get(uri).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Response { status, text: String::from_utf8_lossy(&body).into_owned() })
}

/// Reserves three ports for a process that is started later.
///
/// The sockets stay bound without listening, so that no concurrent test gets one of the ports.  The
/// process can still listen there, because both sides set `SO_REUSEADDR`.
fn reserve_ports() -> ([Socket; 3], [SocketAddr; 3]) {
    let sockets: [Socket; 3] = std::array::from_fn(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("a socket option");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket
    });
    let addresses = sockets.each_ref().map(|socket| {
        socket.local_addr().expect("it is bound").as_socket().expect("an IP address")
    });
    (sockets, addresses)
}
