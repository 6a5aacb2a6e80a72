//! State that lives as long as one request, and the stages that a request goes through:
//!
//! 1. `caller` determines its service, class and deadline (`state`).
//! 2. `key` runs a write with an idempotency key at the key's home instance only (`home`, `replay`).
//! 3. `forward` waits for capacity (`admit`), ranks the sites (`route`), acquires shares (`reserve`),
//!    tries one backend server after another (`attempt`) and streams the response back (`exchange`).
//! 4. `refuse` and `problem` report why there is no response from a backend server.

mod admin;
mod admit;
mod attempt;
pub mod body;
mod caller;
mod deadline;
mod exchange;
mod forward;
mod headers;
mod home;
mod key;
pub mod key_problem;
mod lookup;
pub mod outcome;
mod prepare;
pub mod problem;
mod refuse;
mod replay;
mod reserve;
mod retry;
mod route;
mod state;
mod upload;

use crate::process::Process;
use body::Body;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of lookups.
pub const LOOKUP_PATH: &str = "/lookup";

/// Handles a request received on the address for callers.
pub async fn serve_caller(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    match request.uri().path() {
        LOOKUP_PATH if request.method() == Method::GET => lookup::handle(&process, peer, &request),
        _ => caller::handle(process, peer, request).await,
    }
}

/// Handles a request received on the address for operators.
pub async fn serve_admin(
    process: Arc<Process>,
    _peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    admin::handle(process, request).await
}
