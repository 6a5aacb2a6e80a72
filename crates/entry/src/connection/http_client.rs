//! Single GET requests, each on a new connection.

use super::dial::dial;
use super::encoding::{DEFLATE, inflate};
use super::handshake::handshake;
use super::read_budget::{BudgetedStream, ReadBudget};
use super::response::{CheckedResponse, ResponseError};
use crate::request::body::BodyError;
use crate::request::server_stream::ServerStream;
use bytes::Bytes;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST};
use http::request::Builder;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use steering::terms::timings::ConnectionTimings;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Longest encoded body of an instance's response: the longest decoded one compresses to a quarter.
const MAX_INSTANCE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Longest body of a backend server's response to a check, of which only the head is used.
const MAX_CHECK_BODY_BYTES: usize = 16 * 1024;

/// Bytes besides its body that a response may have: its head, those of interim responses, and the framing.
const MAX_OVERHEAD_BYTES: usize = 256 * 1024;

/// Why a request has no response that can be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum GetError {
    /// The connection was not opened.
    #[error("failed to connect: {0}")]
    Dial(#[from] io::Error),
    /// The request can't be built.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
    /// The connection broke, or its bytes are no response.
    #[error("no response: {0}")]
    Exchange(#[from] hyper::Error),
    /// The head is spoilt.
    #[error("spoilt response: {0}")]
    Response(#[from] ResponseError),
    /// The body is truncated, spoilt, or too long.
    #[error("no usable body: {0}")]
    Body(BodyError),
    /// The status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body has an encoding that was not asked for.
    #[error("unknown encoding {0:?}")]
    Encoding(HeaderValue),
}

/// Sends a GET request to an instance and returns the decoded body of a 200 response.
///
/// `connect_timeout` covers the connection only.
///
/// # Errors
///
/// Fails for any other outcome.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Result<Bytes, GetError> {
    let request = Request::get(path).header(ACCEPT_ENCODING, DEFLATE);
    let stream = dial(address, connect_timeout, timings).await?;
    let (parts, body) = send_over(stream, address, request, MAX_INSTANCE_BODY_BYTES).await?;
    if parts.status != StatusCode::OK {
        return Err(GetError::Status(parts.status));
    }
    match parts.headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == DEFLATE => {
            inflate(&body).map(Bytes::from).map_err(|error| GetError::Body(error.into()))
        }
        Some(encoding) => Err(GetError::Encoding(encoding.clone())),
        None => Ok(body),
    }
}

/// Sends a GET request to a backend server and returns the head of the response.
///
/// `connect_timeout` covers the connection only.
///
/// # Errors
///
/// Fails if there is no complete response.
pub(crate) async fn check(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    timings: ConnectionTimings,
) -> Result<(StatusCode, HeaderMap), GetError> {
    let stream = dial(address, connect_timeout, timings).await?;
    check_over(stream, address, path).await
}

/// As [`check`], over a new connection.
///
/// # Errors
///
/// As [`check`].
pub(crate) async fn check_over(
    stream: TcpStream,
    address: SocketAddr,
    path: &str,
) -> Result<(StatusCode, HeaderMap), GetError> {
    let (parts, _) = send_over(stream, address, Request::get(path), MAX_CHECK_BODY_BYTES).await?;
    Ok((parts.status, parts.headers))
}

/// Sends a GET request over a new connection and returns the whole response.
///
/// # Errors
///
/// Fails if there is none, or its body is longer than `max_body_bytes`.
async fn send_over(
    stream: TcpStream,
    address: SocketAddr,
    request: Builder,
    max_body_bytes: usize,
) -> Result<(Parts, Bytes), GetError> {
    // Chunks of few bytes could go on without end as well, so the budget is never lifted.
    let budget = ReadBudget::new((max_body_bytes + MAX_OVERHEAD_BYTES) as u64);
    let stream = TokioIo::new(BudgetedStream { stream, budget });
    let (mut sender, remainder, driver) = handshake(stream).await?;
    let driver = AbortOnDropHandle::new(tokio::task::spawn_local(driver));
    let request = request.header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let CheckedResponse { parts, framing, body } = CheckedResponse::try_from(response)?;
    let body = ServerStream::new(body, framing, remainder);
    let body = Limited::new(body, max_body_bytes).collect().await.map_err(GetError::Body)?;
    drop(driver);
    Ok((parts, body.to_bytes()))
}
