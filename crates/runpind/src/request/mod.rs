//! What belongs to one request.

mod admin;
mod admit;
mod attempt;
pub mod body;
mod deadline;
mod exchange;
mod forward;
mod headers;
mod home;
mod key;
pub mod key_problem;
mod lookup;
pub mod outcome;
pub mod problem;
mod replay;
mod reserve;
mod retry;
mod route;

use crate::process::Process;
use body::Body;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of look-ups.
pub const LOOKUP_PATH: &str = "/lookup";

/// Answers a request that came in on the address for callers.
pub async fn serve_caller(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        LOOKUP_PATH if request.method() == Method::GET => lookup::answer(&process, peer, &request),
        _ => forward::answer(process, peer, request).await,
    }
}

/// Answers a request that came in on the address for operators.
pub async fn serve_admin(
    process: Arc<Process>,
    _peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    admin::answer(process, request).await
}
