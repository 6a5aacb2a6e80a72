//! The first stage of a caller's request: reading its head.

use super::body::Body;
use super::key;
use super::problem::Problem;
use super::state::Exchange;
use crate::connection::listener::MAX_HEAD_BYTES;
use crate::process::Process;
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a caller is told to retry when the memory has no room for the head of another request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a caller's request, and returns the backend server's response or a refusal.
pub(super) async fn handle(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = process.count_in_flight();
    if process.in_flight() > process.limits.buffer_bytes / MAX_HEAD_BYTES {
        return Problem::Overloaded { retry_after: RETRY_AFTER }.response();
    }
    match Exchange::new(process, peer, &request, in_flight) {
        Ok(exchange) => key::handle(exchange, request).await,
        Err(problem) => problem.response(),
    }
}
