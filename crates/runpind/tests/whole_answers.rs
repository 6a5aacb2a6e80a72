//! Responses of backend servers are forwarded completely, or end so that callers detect truncation.

mod common;

use bytes::Bytes;
use common::raw::{AfterResponse, ScriptedBackend, exchange, read_head};
use common::task::start_daemon;
use futures::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GET: &str = "GET /files/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// Sends `request` through a daemon to a backend server that responds with `response` and closes.
async fn forward(request: &str, response: &str) -> common::raw::RawResponse {
    let backend = ScriptedBackend::start(response, AfterResponse::Close).await;
    let daemon = start_daemon(backend.address).await;
    exchange(daemon.caller_address(), request).await
}

#[tokio::test]
async fn malformed_response_is_a_bad_gateway_with_unknown_outcome() {
    let response = forward(GET, "this is not HTTP\r\n\r\n").await;

    assert_eq!(response.status(), 502, "{}", response.text);
    assert!(response.has_header("runpin-outcome: unknown"), "{}", response.text);
}

// Guards against a success with an empty or short body for callers whose backend server stops anywhere in the
// head.
#[tokio::test]
async fn a_head_that_is_cut_at_any_byte_is_a_bad_gateway() {
    let framings = ["Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close"];
    for framing in framings {
        let head = format!("HTTP/1.1 200 OK\r\nServer: x\r\n{framing}\r\n\r\n");
        let cuts = (0..head.len()).map(|length| &head[..length]);
        let responses = join_all(cuts.clone().map(|cut| forward(GET, cut))).await;
        for (cut, response) in cuts.zip(responses) {
            assert_eq!(response.status(), 502, "{cut:?}: {}", response.text);
            assert!(response.has_header("runpin-outcome: unknown"), "{cut:?}: {}", response.text);
        }
    }
}

// Guards against a success with the framing in its body, or with a part of the body, for callers whose backend server
// spoils its head.
#[tokio::test]
async fn a_response_whose_framing_is_spoilt_is_a_bad_gateway() {
    let spoilt = [
        ("200 OK", "Transfer-Encoding: chunkd"),
        ("200 OK", "Transfer-Encoding: x, chunked"),
        ("200 OK", "Transfer-Encoding: chunked, x"),
        ("200 OK", "Transfer-Encoding: x\r\nContent-Length: 2"),
        ("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 2"),
        ("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: x"),
        ("200 OK", "Content-Length: 4x"),
        ("200 OK", "Content-Lenght: 4"),
        ("200 OK", "Transfer-Encodin: chunked"),
        ("200 OK", "X A: b\r\nContent-Length: 4"),
        ("000 X", "Content-Length: 4"),
        ("101 X", "Content-Length: 4"),
        ("600 X", "Content-Length: 4"),
    ];
    for (status, lines) in spoilt {
        let head = format!("HTTP/1.1 {status}\r\n{lines}\r\n\r\n");
        let response = forward(GET, &format!("{head}4\r\nbody\r\n0\r\n\r\n")).await;

        assert_eq!(response.status(), 502, "{head:?}: {}", response.text);
        assert!(response.has_header("runpin-outcome: unknown"), "{head:?}: {}", response.text);
    }
}

// Guards against callers that get no answer at all, as the body breaks before its head is written.
#[tokio::test]
async fn a_body_that_breaks_at_once_does_not_take_its_head_with_it() {
    for body in ["zz\r\nbody\r\n0\r\n\r\n", "4\r\nbodyXX"] {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let response = forward(GET, &format!("{head}{body}")).await;

        assert!(response.text.starts_with("HTTP/1.1 "), "{body:?}: {:?}", response.text);
        assert!(!response.text.ends_with("0\r\n\r\n"), "{body:?}: {:?}", response.text);
    }
}

// Guards against a success that callers can't read to its end, as the backend server states its length twice.
#[tokio::test]
async fn a_length_that_is_stated_twice_alike_is_told_once() {
    let response = forward(GET, "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody").await;

    assert!(response.has_header("content-length: 4"), "{}", response.text);
    assert_eq!(response.body(), "body", "{}", response.text);
}

#[tokio::test]
async fn response_shorter_than_declared_stays_short() {
    let response = forward(GET, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf").await;

    assert!(
        response.text.is_empty() || response.has_header("content-length: 10"),
        "{}",
        response.text
    );
    assert!(response.body().len() < 10, "{}", response.text);
}

#[tokio::test]
async fn chunked_response_without_its_last_chunk_gets_none() {
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

    let response = forward(GET, cut).await;

    assert!(!response.text.ends_with("0\r\n\r\n"), "{}", response.text);
}

#[tokio::test]
async fn response_without_a_length_is_refused() {
    let response = forward(GET, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf?").await;

    assert_eq!(response.status(), 502, "{}", response.text);
    assert!(response.has_header("runpin-outcome: unknown"), "{}", response.text);
    assert!(response.body().contains("urn:runpin:problem:unbounded-answer"), "{}", response.text);
}

#[tokio::test]
async fn responses_without_a_body_are_complete() {
    let cases = [
        ("GET", "204 No Content", "", 204),
        ("GET", "304 Not Modified", "ETag: \"a\"\r\n", 304),
        ("HEAD", "200 OK", "Content-Length: 5\r\n", 200),
        ("HEAD", "200 OK", "", 200),
    ];
    for (method, status, headers, expected) in cases {
        let request = GET.replace("GET", method);

        let response = forward(&request, &format!("HTTP/1.1 {status}\r\n{headers}\r\n")).await;

        assert_eq!(response.status(), expected, "{method} {status}: {}", response.text);
        assert!(headers.is_empty() || response.has_header(headers.trim_end()), "{}", response.text);
        assert_eq!(response.body(), "");
    }
}

#[tokio::test]
async fn trailers_are_forwarded() {
    let whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n\
        4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n";
    let request = GET.replace("Connection: close", "TE: trailers\r\nConnection: close, TE");

    let response = forward(&request, whole).await;

    assert!(response.text.to_lowercase().ends_with("0\r\nx-sum: 7\r\n\r\n"), "{}", response.text);
}

#[tokio::test]
async fn unrequested_upgrade_is_a_bad_gateway() {
    let upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";

    let response = forward(GET, upgrade).await;

    assert_eq!(response.status(), 502, "{}", response.text);
}

/// Sends a request over HTTP/2 and reads the response body.
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
async fn http_2_caller_receives_a_complete_response() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let backend = ScriptedBackend::start(response, AfterResponse::KeepOpen).await;
    let daemon = start_daemon(backend.address).await;

    let body = read_over_http_2(daemon.caller_address()).await;

    assert_eq!(body.expect("a complete body"), "whole");
}

#[tokio::test]
async fn http_2_caller_detects_a_truncated_response() {
    let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let backend = ScriptedBackend::start(cut, AfterResponse::Close).await;
    let daemon = start_daemon(backend.address).await;

    let body = read_over_http_2(daemon.caller_address()).await;

    assert!(body.is_err(), "{body:?}");
}

#[tokio::test]
async fn disconnect_of_a_caller_cancels_its_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let daemon = start_daemon(listener.local_addr().expect("address")).await;
    let mut caller = TcpStream::connect(daemon.caller_address()).await.expect("connected");
    let request = GET.replace("Host: x", "Host: x\r\nRunpin-Timeout-Ms: 3600000");
    caller.write_all(request.as_bytes()).await.expect("request sent");
    let (mut at_backend, _) = listener.accept().await.expect("a connection");
    read_head(&mut at_backend).await.expect("a head");

    // With a linger of zero the connection is reset, as when the caller's process is killed.
    caller.set_zero_linger().expect("set");
    drop(caller);

    // Much shorter than the timeout of the request.
    let read = tokio::time::timeout(Duration::from_secs(5), at_backend.read(&mut [0; 16])).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}
