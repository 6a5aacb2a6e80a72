//! One GET request on a connection of its own.

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

/// Asks and returns the body of a 200, decoded; none for any other outcome.  The connection must come
/// up within `limit`.
pub(crate) async fn get(address: SocketAddr, path: &str, limit: Duration) -> Option<Bytes> {
    let request = Request::get(path).header(ACCEPT_ENCODING, DEFLATE);
    let (status, headers, body) = send(address, request, limit).await?;
    if status != StatusCode::OK {
        return None;
    }
    match headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == DEFLATE => inflate(&body).ok().map(Bytes::from),
        Some(_) => None,
        None => Some(body),
    }
}

/// Asks and returns the whole answer; none if there is none.
pub(crate) async fn get_whole(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    send(address, Request::get(path), limit).await
}

async fn send(
    address: SocketAddr,
    request: Builder,
    limit: Duration,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let stream = dial(address, limit).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::task::spawn_local(connection);
    let request = request.header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let answer = sender.send_request(request.ok()?).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some((parts.status, parts.headers, body))
}
