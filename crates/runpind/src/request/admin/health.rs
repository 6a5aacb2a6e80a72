//! Endpoints for monitoring systems, which need no token.

use super::error::AdminError;
use super::respond::text;
use super::status::{InstanceState, instance_state};
use crate::process::Process;
use crate::request::body::{self, Body};
use http::{Response, StatusCode};

/// Reports that the process is running.
pub(super) fn liveness() -> Result<Response<Body>, AdminError> {
    Ok(text(StatusCode::OK, "ok\n"))
}

/// Reports whether callers may be sent to this instance.
pub(super) fn readiness(process: &Process) -> Result<Response<Body>, AdminError> {
    let refusal = match instance_state(process) {
        InstanceState::Ready => return Ok(text(StatusCode::OK, "ready\n")),
        InstanceState::Stopping => "draining\n".to_owned(),
        InstanceState::Drained => "drained by an operator\n".to_owned(),
        InstanceState::NoShare => "no share of any link yet\n".to_owned(),
        InstanceState::NoConfiguration => {
            format!("{}\n", process.configuration.status().explain())
        }
        InstanceState::UnknownAvailabilityZone => {
            "the configuration does not have this instance's availability zone\n".to_owned()
        }
    };
    Ok(text(StatusCode::SERVICE_UNAVAILABLE, refusal))
}

/// Returns all metrics in the Prometheus text format.
pub(super) fn metrics(process: &Process) -> Result<Response<Body>, AdminError> {
    process.ledger.publish_size();
    process.update_overload_gauges();
    Ok(Response::new(body::full(process.metrics.render()?)))
}
