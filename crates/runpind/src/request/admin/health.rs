//! Pages for monitoring systems, which need no token.

use super::error::AdminError;
use super::respond::text;
use super::status::{InstanceState, state_of};
use crate::process::Process;
use crate::request::body::{self, Body};
use http::{Response, StatusCode};

/// Tells that the process runs.
pub(super) fn alive() -> Result<Response<Body>, AdminError> {
    Ok(text(StatusCode::OK, "ok\n"))
}

/// Tells whether callers may be sent to this instance.
pub(super) fn ready(process: &Process) -> Result<Response<Body>, AdminError> {
    let (status, line) = match state_of(process) {
        InstanceState::Ready => (StatusCode::OK, "ready\n"),
        InstanceState::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        InstanceState::Drained => (StatusCode::SERVICE_UNAVAILABLE, "drained by an operator\n"),
        InstanceState::NoConfiguration => {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration known yet\n")
        }
        InstanceState::UnknownAvailabilityZone => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the configuration does not have this instance's availability zone\n",
        ),
    };
    Ok(text(status, line))
}

/// Returns all metrics in the form of Prometheus.
pub(super) fn metrics(process: &Process) -> Result<Response<Body>, AdminError> {
    process.ledger.publish_size();
    Ok(Response::new(body::full(process.metrics.render()?)))
}
