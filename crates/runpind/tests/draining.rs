//! An instance that drains: callers are moved, requests are still served.

mod common;

use common::raw::{ScriptedBackend, Then, exchange, read_to_end};
use common::task::start_daemon;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const EMPTY_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\n\r\n";

#[tokio::test]
async fn look_up_leaves_out_a_draining_instance() {
    let backend = ScriptedBackend::start(EMPTY_ANSWER, Then::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    daemon.process().start_draining();

    let request = "GET /lookup?service=files HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = exchange(daemon.caller_address(), request).await;

    assert_eq!(answer.status(), 200, "{}", answer.text);
    assert!(!answer.text.contains(&daemon.caller_address().to_string()), "{}", answer.text);
}

#[tokio::test]
async fn draining_instance_serves_a_request_and_closes_its_connection() {
    let backend = ScriptedBackend::start(EMPTY_ANSWER, Then::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    daemon.process().start_draining();

    let answer = exchange(daemon.caller_address(), GET).await;

    assert_eq!(answer.status(), 200, "{}", answer.text);
    assert!(answer.has_header("connection: close"), "{}", answer.text);
}

#[tokio::test]
async fn request_on_a_fresh_connection_is_served_though_the_listener_closes() {
    let backend = ScriptedBackend::start(EMPTY_ANSWER, Then::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;
    let mut stream = TcpStream::connect(daemon.caller_address()).await.expect("connected");

    let stopping = tokio::spawn(daemon.stop());
    stream.write_all(GET.as_bytes()).await.expect("request sent");
    let answer = read_to_end(&mut stream).await;

    assert_eq!(answer.status(), 200, "{}", answer.text);
    stopping.await.expect("the stop ends");
}
