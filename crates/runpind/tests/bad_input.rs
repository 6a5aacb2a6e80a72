//! Invalid or unusual requests get a clear response, are not run, and leave the daemon serving.

mod common;

use common::raw::{AfterResponse, RawResponse, ScriptedBackend, exchange, read_to_end};
use common::task::{start_daemon, start_with};
use common::{Deployment, configuration_text};
use runpind::Daemon;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

async fn start() -> (ScriptedBackend, Daemon) {
    let backend = ScriptedBackend::start(EMPTY_RESPONSE, AfterResponse::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    (backend, daemon)
}

async fn still_serves(daemon: &Daemon) -> bool {
    exchange(daemon.caller_address(), GET).await.status() == 200
}

/// Returns whether the response reports a problem of this kind and the outcome `not-run`.
fn is_problem(response: &RawResponse, status: u16, kind: &str) -> bool {
    response.status() == status
        && response.has_header("content-type: application/problem+json")
        && response.has_header("runpin-outcome: not-run")
        && response.body().contains(&format!("urn:runpin:problem:{kind}"))
}

#[tokio::test]
async fn malformed_request_is_a_bad_request() {
    let (_backend, daemon) = start().await;

    let response = exchange(daemon.caller_address(), "NONSENSE\r\n\r\n").await;

    assert_eq!(response.status(), 400, "{}", response.text);
    assert!(still_serves(&daemon).await);
}

#[tokio::test]
async fn oversized_head_is_refused() {
    let (_backend, daemon) = start().await;
    let padding = "x".repeat(64 << 10);

    let request = format!("GET /files/1 HTTP/1.1\r\nHost: x\r\nX-Padding: {padding}\r\n\r\n");
    let response = exchange(daemon.caller_address(), &request).await;

    assert_eq!(response.status(), 431, "{}", response.text);
    assert!(still_serves(&daemon).await);
}

#[tokio::test]
async fn unknown_service_is_not_found_and_not_run() {
    let (_backend, daemon) = start().await;

    let request = "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    assert!(is_problem(&response, 404, "unknown-service"), "{}", response.text);
}

#[tokio::test]
async fn refusal_states_its_length() {
    let (_backend, daemon) = start().await;

    let request = "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    let length = format!("content-length: {}", response.body().len());
    assert!(response.has_header(&length), "{}", response.text);
}

#[tokio::test]
async fn http_1_0_is_refused_because_truncation_is_undetectable() {
    let (_backend, daemon) = start().await;

    let response =
        exchange(daemon.caller_address(), "GET /files/1 HTTP/1.0\r\nHost: x\r\n\r\n").await;

    assert!(is_problem(&response, 505, "http-version"), "{}", response.text);
}

#[tokio::test]
async fn body_shorter_than_declared_is_not_run() {
    let deployment = Deployment::start().await;
    let daemon = start_daemon(deployment.backend.address).await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    let head =
        "PUT /files/1 HTTP/1.1\r\nHost: x\r\nLab-Request-Id: short\r\nContent-Length: 9\r\n\r\n";

    stream.write_all(head.as_bytes()).await.expect("head sent");
    stream.write_all(b"xxx").await.expect("body sent");
    stream.shutdown().await.expect("half closed");
    let response = read_to_end(&mut stream).await;

    assert_ne!(response.status(), 200, "{}", response.text);
    assert_eq!(deployment.record.times_run("short"), 0);
    assert!(still_serves(&daemon).await);
}

#[tokio::test]
async fn slow_head_ends_the_connection() {
    let (_backend, daemon) = start().await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    stream.write_all(b"GET /files/1 HTTP/1.1\r\n").await.expect("half a head sent");
    // From here on, the clock advances whenever the runtime is idle.
    tokio::time::pause();

    let response = read_to_end(&mut stream).await;

    tokio::time::resume();
    assert_ne!(response.status(), 200, "{}", response.text);
    assert!(still_serves(&daemon).await);
}

#[tokio::test]
async fn bad_timeout_is_a_bad_request() {
    let (_backend, daemon) = start().await;

    let request = "GET /files/1 HTTP/1.1\r\nHost: x\r\nRunpin-Timeout-Ms: soon\r\n\
        Connection: close\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    assert!(is_problem(&response, 400, "bad-header"), "{}", response.text);
}

#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let (mut backend, daemon) = start().await;

    let request = "GET /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close, upgrade, x-mine\r\n\
        Upgrade: websocket\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nX-Other: 2\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    let head = backend.heads.recv().await.expect("a head").to_lowercase();
    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(head.contains("x-other: 2"), "{head}");
    for name in ["upgrade", "x-mine", "keep-alive", "connection"] {
        assert!(!head.contains(&format!("\r\n{name}:")), "{head}");
    }
}

#[tokio::test]
async fn port_of_the_host_header_is_ignored() {
    let backend = ScriptedBackend::start(EMPTY_RESPONSE, AfterResponse::KeepOpen).await;
    let text = configuration_text(backend.address);
    let with_host = text.replace("name = \"files\"\n", "name = \"files\"\nhost = \"f.example\"\n");
    let daemon = start_with(&with_host).await;

    let request = "GET /files/1 HTTP/1.1\r\nHost: F.example:8080\r\nConnection: close\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    assert_eq!(response.status(), 200, "{}", response.text);
}

#[tokio::test]
async fn absolute_form_takes_precedence_over_the_host_header() {
    let (mut backend, daemon) = start().await;

    let request = "GET http://f.example/files/1?a=b HTTP/1.1\r\nHost: other\r\n\
        Connection: close\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    let head = backend.heads.recv().await.expect("a head").to_lowercase();
    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(head.starts_with("get /files/1?a=b http/1.1\r\n"), "{head}");
    assert!(head.contains("\r\nhost: f.example\r\n"), "{head}");
}

#[tokio::test]
async fn timeout_is_forwarded_with_the_remaining_time() {
    let (mut backend, daemon) = start().await;

    let request = "GET /files/1 HTTP/1.1\r\nHost: x\r\nRunpin-Timeout-Ms: 5000\r\n\
        Connection: close\r\n\r\n";
    exchange(daemon.caller_address(), request).await;

    let head = backend.heads.recv().await.expect("a head").to_lowercase();
    let remaining = head.split("runpin-timeout-ms: ").nth(1).and_then(|rest| rest.lines().next());
    let remaining_ms: u64 = remaining.expect("a deadline").parse().expect("a number");
    assert!(remaining_ms <= 5000, "{remaining_ms}");
}

#[tokio::test]
async fn caller_that_expects_100_continue_receives_it() {
    let deployment = Deployment::start().await;
    let daemon = start_daemon(deployment.backend.address).await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    let head = "PUT /files/1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\
        Content-Length: 3\r\nConnection: close\r\n\r\n";

    stream.write_all(head.as_bytes()).await.expect("head sent");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("an interim response");
    stream.write_all(b"xxx").await.expect("body sent");
    let response = read_to_end(&mut stream).await;

    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(response.body().contains(" 3\n"), "{}", response.text);
}
