//! Single GET requests, each on a new connection.

use super::dial::dial;
use super::encoding::{DEFLATE, inflate};
use super::handshake::handshake;
use bytes::Bytes;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST};
use http::request::Builder;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use std::net::SocketAddr;
use std::time::Duration;
use steering::terms::timings::ConnectionTimings;
use tokio::net::TcpStream;

/// Longest encoded body of an instance's response: the longest decoded one compresses to a quarter.
const MAX_INSTANCE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest body of a backend server's response to a check, of which only the head is used.
const MAX_CHECK_BODY_BYTES: usize = 16 * 1024;

/// Sends a GET request to an instance and returns the decoded body of a 200 response; `None` for any other
/// outcome.
///
/// `connect_timeout` covers the connection only.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Option<Bytes> {
    let request = Request::get(path).header(ACCEPT_ENCODING, DEFLATE);
    let stream = dial(address, connect_timeout, timings).await.ok()?;
    let (status, headers, body) =
        send_over(stream, address, request, MAX_INSTANCE_BODY_BYTES).await?;
    if status != StatusCode::OK {
        return None;
    }
    match headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == DEFLATE => inflate(&body).ok().map(Bytes::from),
        Some(_) => None,
        None => Some(body),
    }
}

/// Sends a GET request to a backend server and returns the head of the response; `None` if there is no
/// complete one.
///
/// `connect_timeout` covers the connection only.
pub(crate) async fn check(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Option<(StatusCode, HeaderMap)> {
    let stream = dial(address, connect_timeout, timings).await.ok()?;
    check_over(stream, address, path).await
}

/// As [`check`], over a new connection.
pub(crate) async fn check_over(
    stream: TcpStream,
    address: SocketAddr,
    path: &str,
) -> Option<(StatusCode, HeaderMap)> {
    let response = send_over(stream, address, Request::get(path), MAX_CHECK_BODY_BYTES).await;
    response.map(|(status, headers, _)| (status, headers))
}

/// Sends a GET request over a new connection and returns the whole response; `None` if there is none, or its
/// body is longer than `max_body_bytes`.
async fn send_over(
    stream: TcpStream,
    address: SocketAddr,
    request: Builder,
    max_body_bytes: usize,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let (mut sender, connection) = handshake(stream).await.ok()?;
    let driver = tokio::task::spawn_local(connection);
    let request = request.header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, max_body_bytes).collect().await.ok()?.to_bytes();
    driver.abort();
    Some((parts.status, parts.headers, body))
}
