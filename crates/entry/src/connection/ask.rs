//! One GET request on a connection of its own.

use super::dial::dial;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;

/// Asks and returns the body of a 200; none for any other outcome.  The connection must come up
/// within `limit`.
pub(crate) async fn get(address: SocketAddr, path: &str, limit: Duration) -> Option<Bytes> {
    let (status, _, body) = get_whole(address, path, limit).await?;
    (status == StatusCode::OK).then_some(body)
}

/// Asks and returns the whole answer; none if there is none.
pub(crate) async fn get_whole(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let stream = dial(address, limit).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::task::spawn_local(connection);
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
    let answer = sender.send_request(request.ok()?).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some((parts.status, parts.headers, body))
}
