//! A draining instance, which leaves lookups but still serves requests.

mod common;

use common::raw::{AfterResponse, ScriptedBackend, exchange, read_to_end};
use common::task::start_daemon;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\n\r\n";

#[tokio::test]
async fn lookup_leaves_out_a_draining_instance() {
    let backend = ScriptedBackend::start(EMPTY_RESPONSE, AfterResponse::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    daemon.process().start_draining();

    let request = "GET /lookup?service=files HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = exchange(daemon.caller_address(), request).await;

    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(!response.text.contains(&daemon.caller_address().to_string()), "{}", response.text);
}

#[tokio::test]
async fn draining_instance_serves_a_request_and_closes_its_connection() {
    let backend = ScriptedBackend::start(EMPTY_RESPONSE, AfterResponse::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    daemon.process().start_draining();

    let response = exchange(daemon.caller_address(), GET).await;

    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(response.has_header("connection: close"), "{}", response.text);
}

#[tokio::test]
async fn request_on_a_new_connection_is_served_while_the_listener_closes() {
    let backend = ScriptedBackend::start(EMPTY_RESPONSE, AfterResponse::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");

    let stopping = tokio::spawn(daemon.stop());
    stream.write_all(GET.as_bytes()).await.expect("request sent");
    let response = read_to_end(&mut stream).await;

    assert_eq!(response.status(), 200, "{}", response.text);
    stopping.await.expect("the stop ends");
}
