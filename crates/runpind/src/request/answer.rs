//! The first stage: what a request is.

use super::body::Body;
use super::key;
use super::state::Exchange;
use crate::process::Process;
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Answers a caller's request with that of a backend server, or says why it can't.
pub(super) async fn answer(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = process.count_in_flight();
    match Exchange::new(process, peer, &request, in_flight) {
        Ok(exchange) => key::answer(exchange, request).await,
        Err(problem) => problem.response(),
    }
}
