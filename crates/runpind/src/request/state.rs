//! The state of one request, which all stages share.

use super::body::Body;
use super::headers::{self, TIMEOUT_HEADER};
use super::problem::Problem;
use super::{deadline, lookup};
use crate::process::arms::FlowName;
use crate::process::ledger::RunningKey;
use crate::process::{InFlight, Process};
use crate::version::Version;
use configuration::{Class, Service, ServiceIndex};
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::time::Instant;

/// A request whose head has been read.
pub(super) struct Exchange {
    pub(super) process: Arc<Process>,
    pub(super) version: Arc<Version>,
    pub(super) service: ServiceIndex,
    pub(super) class: Class,
    /// Address of the caller, which determines its arm.
    pub(super) caller: IpAddr,
    pub(super) deadline: Instant,
    pub(super) started: Instant,
    /// The idempotency key, if the request runs under one at this instance.
    pub(super) key: Option<Arc<RunningKey>>,
    in_flight: InFlight,
}

impl Exchange {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP version, the service or a header is not acceptable, or if this instance has
    /// no configuration.
    pub(super) fn new(
        process: Arc<Process>,
        peer: SocketAddr,
        request: &Request<Incoming>,
        in_flight: InFlight,
    ) -> Result<Self, Problem> {
        headers::check_version(request.version())?;
        let version = process.version.load_full().ok_or(Problem::NoConfiguration)?;
        let path = request.uri().path();
        let host = headers::request_host(request);
        let service = version
            .configuration
            .service_for(host.as_deref(), path)
            .ok_or_else(|| Problem::UnknownService(path.to_owned()))?;
        let class = version.configuration.class_of(service, request.method().as_str(), path);
        let caller = lookup::caller_address(&process, peer, request.headers())?;
        let timeout_ms = version.configuration.overload.default_timeout_ms;
        let deadline = deadline::from_headers(request.headers(), class, timeout_ms)?;
        let started = Instant::now();
        let key = None;
        Ok(Self { process, version, service, class, caller, deadline, started, key, in_flight })
    }

    /// Returns the service that the request is for.
    pub(super) fn service(&self) -> &Service {
        &self.version.configuration.services[self.service.get()]
    }

    /// Returns the name under which the request is counted for an arm.
    pub(super) fn flow_name(&self, arm: Arc<str>) -> FlowName {
        FlowName { service: self.service().name.clone(), class: self.class, arm }
    }

    /// Returns the guard that counts the request as in flight.
    pub(super) fn into_in_flight(self) -> InFlight {
        self.in_flight
    }

    /// Writes the time remaining until the deadline into the timeout header.
    ///
    /// # Errors
    ///
    /// Fails if less than a millisecond remains.
    pub(super) fn set_timeout(&self, request: &mut Request<Body>) -> Result<(), Problem> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        if remaining_ms == 0 {
            return Err(Problem::TimeoutBeforeSend);
        }
        request.headers_mut().insert(TIMEOUT_HEADER, HeaderValue::from(remaining_ms));
        Ok(())
    }
}
