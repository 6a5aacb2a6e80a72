//! The first stage of a caller's request: reading its head.

use super::body::Body;
use super::key;
use super::state::Exchange;
use crate::process::Process;
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Handles a caller's request, and returns the backend server's response or a refusal.
pub(super) async fn handle(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = process.count_in_flight();
    match Exchange::new(process, peer, &request, in_flight) {
        Ok(exchange) => key::handle(exchange, request).await,
        Err(problem) => problem.response(),
    }
}
