//! Answers of backend servers: passed on whole, or ended so that the caller can tell.

mod common;

use bytes::Bytes;
use common::raw::{ScriptedBackend, Then, exchange, read_head};
use common::task::start_daemon;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// Sends `request` through a daemon to a backend server that answers `answer` and closes.
async fn answer_to(request: &str, answer: &str) -> common::raw::RawAnswer {
    let backend = ScriptedBackend::start(answer, Then::Close).await;
    let daemon = start_daemon(backend.address).await;
    exchange(daemon.caller_address(), request).await
}

#[tokio::test]
async fn garbage_is_a_bad_gateway_of_unknown_outcome() {
    let answer = answer_to(GET, "this is not HTTP\r\n\r\n").await;

    assert_eq!(answer.status(), 502, "{}", answer.text);
    assert!(answer.has_header("runpin-outcome: unknown"), "{}", answer.text);
}

#[tokio::test]
async fn answer_shorter_than_declared_ends_short() {
    let answer = answer_to(GET, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf").await;

    assert!(answer.text.is_empty() || answer.has_header("content-length: 10"), "{}", answer.text);
    assert!(answer.body().len() < 10, "{}", answer.text);
}

#[tokio::test]
async fn chunked_answer_without_its_end_has_no_end() {
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

    let answer = answer_to(GET, cut).await;

    assert!(!answer.text.ends_with("0\r\n\r\n"), "{}", answer.text);
}

#[tokio::test]
async fn answer_without_a_length_is_refused() {
    let answer = answer_to(GET, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf?").await;

    assert_eq!(answer.status(), 502, "{}", answer.text);
    assert!(answer.has_header("runpin-outcome: unknown"), "{}", answer.text);
    assert!(answer.body().contains("urn:runpin:problem:unbounded-answer"), "{}", answer.text);
}

#[tokio::test]
async fn answers_without_a_body_are_whole() {
    let cases = [
        ("GET", "204 No Content", "", 204),
        ("GET", "304 Not Modified", "ETag: \"a\"\r\n", 304),
        ("HEAD", "200 OK", "Content-Length: 5\r\n", 200),
        ("HEAD", "200 OK", "", 200),
    ];
    for (method, status, headers, expected) in cases {
        let request = GET.replace("GET", method);

        let answer = answer_to(&request, &format!("HTTP/1.1 {status}\r\n{headers}\r\n")).await;

        assert_eq!(answer.status(), expected, "{method} {status}: {}", answer.text);
        assert!(headers.is_empty() || answer.has_header(headers.trim_end()), "{}", answer.text);
        assert_eq!(answer.body(), "");
    }
}

#[tokio::test]
async fn trailers_are_passed_on() {
    let whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n\
        4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n";
    let request = GET.replace("Connection: close", "TE: trailers\r\nConnection: close, TE");

    let answer = answer_to(&request, whole).await;

    assert!(answer.text.to_lowercase().ends_with("0\r\nx-sum: 7\r\n\r\n"), "{}", answer.text);
}

#[tokio::test]
async fn upgrade_that_nobody_asked_for_is_a_bad_gateway() {
    let upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";

    let answer = answer_to(GET, upgrade).await;

    assert_eq!(answer.status(), 502, "{}", answer.text);
}

/// Sends a request over HTTP/2 and returns the result of reading its answer's body.
async fn read_over_http_2(to: SocketAddr) -> Result<Bytes, hyper::Error> {
    let stream = TcpStream::connect(to).await.expect("connected");
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    let request = Request::get(format!("http://{to}/files/1")).body(Empty::<Bytes>::new());
    let response = sender.send_request(request.expect("request")).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

#[tokio::test]
async fn http_2_caller_gets_a_whole_answer() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let backend = ScriptedBackend::start(answer, Then::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;

    let body = read_over_http_2(daemon.caller_address()).await;

    assert_eq!(body.expect("a whole body"), "whole");
}

#[tokio::test]
async fn http_2_caller_can_tell_a_cut_answer() {
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let backend = ScriptedBackend::start(cut, Then::Close).await;
    let daemon = start_daemon(backend.address).await;

    let body = read_over_http_2(daemon.caller_address()).await;

    assert!(body.is_err(), "{body:?}");
}

#[tokio::test]
async fn caller_that_goes_away_cancels_its_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let daemon = start_daemon(listener.local_addr().expect("address")).await;
    let mut caller = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    let request = GET.replace("Host: x", "Host: x\r\nRunpin-Timeout-Ms: 3600000");
    caller.write_all(request.as_bytes()).await.expect("request sent");
    let (mut at_backend, _) = listener.accept().await.expect("a connection");
    read_head(&mut at_backend).await.expect("a head");

    // With a linger of zero the connection is reset, as when a caller's process dies.
    caller.set_zero_linger().expect("set");
    drop(caller);

    // Far less than the deadline of the request.
    let read = tokio::time::timeout(Duration::from_secs(5), at_backend.read(&mut [0; 16])).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}
