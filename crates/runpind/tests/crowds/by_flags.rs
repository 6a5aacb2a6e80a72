//! Crowds at the listeners of the daemon that is configured by flags.

use crate::crowd::{Crowd, ordinary_request};
use crate::daemon::{DaemonProcess, Deployment, SECRET};
use crate::measure::{FILE_DESCRIPTORS, open_descriptors, peak_memory_mb};
use crate::run;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{once, pending};
use http::Request;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Callers of a crowd that sends bodies.
const CALLERS: usize = 400;

/// Callers of a crowd that says nothing, more than the descriptors of the daemon.
const SILENT_CALLERS: usize = 600;

/// Connections of a crowd that uses HTTP/2, and the requests on each of them.
const CONNECTIONS: usize = 120;
const STREAMS: usize = 40;

/// Operators that upload client blocks at once, and the bytes of each upload.
const UPLOADS: usize = 8;
const UPLOAD_BYTES: usize = 20_000_000;

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 96;

/// Descriptors of the machine, in a test of bodies and in one of connections.
const DESCRIPTORS: usize = 4_100;
const FEW_DESCRIPTORS: usize = 512;

const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
const READY: &str = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

struct Fixture {
    daemon: DaemonProcess,
    descriptors: usize,
    _deployment: Deployment,
}

impl Fixture {
    async fn start(descriptors: usize) -> Self {
        let deployment = Deployment::start().await;
        let daemon = DaemonProcess::start_limited(&deployment, MEMORY_MB, descriptors).await;
        Self { daemon, descriptors, _deployment: deployment }
    }

    /// Checks that ordinary requests are answered, and that the process lives and has kept to its limits.
    async fn assert_bears(&mut self) {
        let caller = ordinary_request(self.daemon.caller_address(), GET).await;
        let operator = ordinary_request(self.daemon.admin_address(), READY).await;
        let process = self.daemon.running_id().expect("it lives");
        let memory_mb = peak_memory_mb(process).expect("it lives");
        let descriptors = open_descriptors(process).expect("it lives");
        println!("{memory_mb} MB at most, {descriptors} descriptors open");
        assert!(memory_mb <= MEMORY_MB, "{memory_mb} MB");
        let sockets = self.descriptors - FILE_DESCRIPTORS;
        assert!(descriptors <= sockets, "{descriptors} descriptors");
        assert_eq!((caller, operator), (200, 200), "responses to ordinary requests");
    }
}

fn play_silent(address: impl Fn(&DaemonProcess) -> SocketAddr) {
    run(async {
        let mut fixture = Fixture::start(FEW_DESCRIPTORS).await;

        let _crowd = Crowd::gather(address(&fixture.daemon), SILENT_CALLERS, "", &[]).await;

        fixture.assert_bears().await;
    });
}

#[test]
fn silent_connections_of_callers_by_flags() {
    play_silent(DaemonProcess::caller_address);
}

#[test]
fn silent_connections_of_operators_by_flags() {
    play_silent(DaemonProcess::admin_address);
}

#[test]
fn silent_connections_of_instances_by_flags() {
    play_silent(DaemonProcess::peer_address);
}

#[test]
fn uploads_that_stop_a_byte_short_by_flags() {
    run(async {
        let mut fixture = Fixture::start(DESCRIPTORS).await;
        let head = "PUT /files/1 HTTP/1.1\r\nHost: x\r\nLab-Request-Id: ID\r\n\
            Runpin-Timeout-Ms: 120000\r\nContent-Length: 262144\r\n\r\n";

        let to = fixture.daemon.caller_address();
        let _crowd = Crowd::gather(to, CALLERS, head, &[b'x'; 262_143]).await;

        fixture.assert_bears().await;
    });
}

#[test]
fn uploads_over_http_2_that_stop_a_byte_short() {
    run(async {
        let mut fixture = Fixture::start(DESCRIPTORS).await;

        let mut crowd = JoinSet::new();
        for _ in 0..CONNECTIONS {
            stall_over_http_2(fixture.daemon.caller_address(), &mut crowd).await;
        }

        fixture.assert_bears().await;
    });
}

/// Opens a connection and begins many uploads on it, none of which ends.
async fn stall_over_http_2(to: SocketAddr, crowd: &mut JoinSet<()>) {
    const BYTES: usize = 65_536;
    let stream = TcpStream::connect(to).await.expect("connected");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let Ok((sender, connection)) = handshake else { return };
    crowd.spawn(async move {
        // The connection may be refused.
        let _ = connection.await;
    });
    for _ in 0..STREAMS {
        let part = Frame::data(Bytes::from(vec![b'x'; BYTES - 1]));
        let body = once(async { Ok::<_, Infallible>(part) }).chain(pending());
        let request = Request::put("http://x/files/1")
            .header("content-length", BYTES)
            .header("runpin-timeout-ms", 120_000)
            .body(StreamBody::new(Box::pin(body)))
            .expect("a request");
        let mut sender = sender.clone();
        crowd.spawn(async move {
            let _response = sender.send_request(request).await;
            std::future::pending::<()>().await;
        });
    }
    // The parts are on their way once the tasks of the connection have nothing more to do.
    for _ in 0..STREAMS {
        tokio::task::yield_now().await;
    }
}

#[test]
fn uploads_of_operators_that_stop_a_byte_short() {
    run(async {
        let mut fixture = Fixture::start(DESCRIPTORS).await;
        let head = format!(
            "PUT /v1/configuration/blocks HTTP/1.1\r\nHost: x\r\n\
             Authorization: Bearer {SECRET}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );

        let to = fixture.daemon.admin_address();
        let _crowd = Crowd::gather(to, UPLOADS, &head, &vec![b'1'; UPLOAD_BYTES - 1]).await;

        fixture.assert_bears().await;
    });
}
