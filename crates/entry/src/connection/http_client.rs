//! Single GET requests, each on a new connection.

use super::dial::dial;
use super::encoding::{DEFLATE, inflate};
use bytes::Bytes;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST};
use http::request::Builder;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use steering::terms::timings::ConnectionTimings;
use tokio::net::TcpStream;

/// Sends a GET request and returns the decoded body of a 200 response; `None` for any other outcome.
///
/// `connect_timeout` covers the connection only.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Option<Bytes> {
    let request = Request::get(path).header(ACCEPT_ENCODING, DEFLATE);
    let (status, headers, body) = send(address, request, connect_timeout, timings).await?;
    if status != StatusCode::OK {
        return None;
    }
    match headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == DEFLATE => inflate(&body).ok().map(Bytes::from),
        Some(_) => None,
        None => Some(body),
    }
}

/// Sends a GET request and returns the whole response; `None` if there is none.
///
/// `connect_timeout` covers the connection only.
pub(crate) async fn get_response(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    send(address, Request::get(path), connect_timeout, timings).await
}

async fn send(
    address: SocketAddr,
    request: Builder,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let stream = dial(address, connect_timeout, timings).await.ok()?;
    send_over(stream, address, request).await
}

/// Sends a GET request over a new connection and returns the whole response; `None` if there is none.
pub(crate) async fn get_over(
    stream: TcpStream,
    address: SocketAddr,
    path: &str,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    send_over(stream, address, Request::get(path)).await
}

async fn send_over(
    stream: TcpStream,
    address: SocketAddr,
    request: Builder,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::task::spawn_local(connection);
    let request = request.header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some((parts.status, parts.headers, body))
}
