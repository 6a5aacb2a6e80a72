//! Carrying a request to a backend server and its answer back, stage by stage:
//!
//! 1. [`Exchange::new`]: which service, class and deadline the request has;
//! 2. [`Admission`]: a wait for room when there is none, and a refusal when there will be none;
//! 3. [`route`]: which sites may run it, best first, and which arm says so;
//! 4. [`reserve`]: spending the shares of the link and the site;
//! 5. [`attempt`]: offering it to one backend server;
//! 6. [`AnswerBody`]: passing the answer on.

use super::admit::Admission;
use super::attempt::{self, Attempt};
use super::body::{Body, BodyError};
use super::exchange::{AnswerBody, ExchangeConnection, Measurement, Slot};
use super::headers::{ARM_HEADER, TIMEOUT_HEADER, closes_connection, remove_hop_by_hop};
use super::outcome::{OUTCOME_HEADER, Outcome};
use super::problem::Problem;
use super::replay::Shed;
use super::retry::Retry;
use super::route::Route;
use super::{deadline, headers, key, lookup, reserve, route};
use crate::connection::dialer::Endpoint;
use crate::connection::pool::PooledConnection;
use crate::process::arms::FlowName;
use crate::process::ledger::RunningKey;
use crate::process::{InFlight, Process};
use crate::version::Version;
use configuration::{Class, Service, ServiceIndex, SiteIndex};
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode, Uri, Version as HttpVersion};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::time::Instant;

/// Backend servers that a request is offered to before it is refused; all but the last returned it
/// unsent.
const MAX_OFFERS: u32 = 4;

/// What is known of a request once its head was read.
pub(super) struct Exchange {
    pub(super) process: Arc<Process>,
    pub(super) version: Arc<Version>,
    pub(super) service: ServiceIndex,
    pub(super) class: Class,
    /// Address of the caller, which decides its arm.
    pub(super) caller: IpAddr,
    pub(super) deadline: Instant,
    pub(super) started: Instant,
    /// The idempotency key that is run here.
    pub(super) key: Option<Arc<RunningKey>>,
    in_flight: InFlight,
}

/// Answers a caller's request with that of a backend server, or says why it can't.
pub(super) async fn answer(
    process: Arc<Process>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let in_flight = process.enter();
    match Exchange::new(process, peer, &request, in_flight) {
        Ok(exchange) => key::answer(exchange, request).await,
        Err(problem) => problem.response(),
    }
}

impl Exchange {
    fn new(
        process: Arc<Process>,
        peer: SocketAddr,
        request: &Request<Incoming>,
        in_flight: InFlight,
    ) -> Result<Self, Problem> {
        headers::check_version(request.version())?;
        let version = process.version.load_full().ok_or(Problem::NoConfiguration)?;
        let path = request.uri().path();
        let host = headers::host_of(request);
        let service = version
            .configuration
            .service_for(host.as_deref(), path)
            .ok_or_else(|| Problem::UnknownService(path.to_owned()))?;
        let class = version.configuration.class_of(service, request.method().as_str(), path);
        let caller = lookup::caller_address(&process, peer, request.headers())?;
        let timeout_ms = version.configuration.overload.default_timeout_ms;
        let deadline = deadline::of_request(request.headers(), class, timeout_ms)?;
        let started = Instant::now();
        let key = None;
        Ok(Self { process, version, service, class, caller, deadline, started, key, in_flight })
    }

    pub(super) fn service(&self) -> &Service {
        &self.version.configuration.services[self.service.get()]
    }

    fn flow(&self, arm: Arc<str>) -> FlowName {
        FlowName { service: self.service().name.clone(), class: self.class, arm }
    }

    /// Refuses the request.
    pub(super) fn refuse(self, problem: Problem) -> Response<Body> {
        self.process.count_refusal(&self.flow(route::arm_of(&self)), &problem);
        problem.response()
    }

    /// Runs the request, or says why it can't.
    pub(super) async fn run(self, request: Request<Incoming>) -> Response<Body> {
        let process = self.process.clone();
        let flow = self.flow(route::arm_of(&self));
        match self.send(request).await {
            Ok(response) => {
                process.metrics.count_request(&flow.service, flow.class, "answered");
                response
            }
            Err(problem) => {
                process.count_refusal(&flow, &problem);
                problem.response()
            }
        }
    }

    /// Offers the request to one backend server after another until one has been sent it.
    ///
    /// While there is no room, the request waits in the queue of its service.
    async fn send(self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let mut admission = Admission::new(request.headers());
        let (mut retry, mut request) = Retry::of(&self, prepare(request));
        let method = request.method().clone();
        admission.wait_turn(&self).await?;
        let mut route = route::of_request(&self);
        if route.sites.is_empty() {
            // Waiting would not change that no site may take it.
            return Err(Problem::NoCapacity);
        }
        let mut offers = 0;
        loop {
            let Some((site, mut slot, endpoint)) = self.pick(&route) else {
                admission.wait_for_room(&self).await?;
                continue;
            };
            admission.found();
            offers += 1;
            self.set_timeout(&mut request)?;
            match attempt::send(&self, &mut slot, &endpoint, request).await? {
                Attempt::Answered(response, connection) => {
                    headers::check_answer(&method, &response)?;
                    return Ok(self.pass_on(response, connection, slot, &route));
                }
                Attempt::NotSent(returned) if offers < MAX_OFFERS => request = returned,
                Attempt::NotSent(_) => return Err(Problem::NoCapacity),
                Attempt::Broken => request = retry.again(&self).ok_or(Problem::Broken)?,
            }
            if slot.has_failed() {
                // The other sites come first from here on.
                route.sites.sort_by_key(|other| *other == site);
            }
        }
    }

    /// Takes what one attempt needs, at the best site that has it.
    fn pick(&self, route: &Route) -> Option<(SiteIndex, Slot, Endpoint)> {
        route.sites.iter().enumerate().find_map(|(position, site)| {
            let reservation = reserve::take(self, *site, position).ok()?;
            let (slot, endpoint) = attempt::pick(self, *site, reservation)?;
            Some((*site, slot, endpoint))
        })
    }

    /// Takes what counts the request as in flight.
    pub(super) fn into_in_flight(self) -> InFlight {
        self.in_flight
    }

    pub(super) fn set_timeout(&self, request: &mut Request<Body>) -> Result<(), Problem> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        if left_ms == 0 {
            return Err(Problem::TimeoutBeforeSend);
        }
        request.headers_mut().insert(TIMEOUT_HEADER, HeaderValue::from(left_ms));
        Ok(())
    }

    fn pass_on(
        self,
        response: Response<Incoming>,
        connection: PooledConnection,
        slot: Slot,
        route: &Route,
    ) -> Response<Body> {
        let (mut parts, incoming) = response.into_parts();
        let reusable = !closes_connection(&parts.headers);
        remove_hop_by_hop(&mut parts.headers);
        parts.version = HttpVersion::default();
        // It is ours to say.
        parts.headers.remove(OUTCOME_HEADER);
        if let Ok(arm) = HeaderValue::from_str(&route.arm) {
            parts.headers.insert(ARM_HEADER, arm);
        }
        if parts.status == StatusCode::SERVICE_UNAVAILABLE && self.service().shed_status_not_run {
            let not_run = Outcome::NotRun;
            parts.headers.insert(OUTCOME_HEADER, HeaderValue::from_static(not_run.as_str()));
            parts.extensions.insert(not_run);
            parts.extensions.insert(Shed);
        }
        let measurement = Measurement {
            process: self.process.clone(),
            flow: self.flow(route.arm.clone()),
            started: self.started,
        };
        let connection = ExchangeConnection { connection, reusable };
        let body = AnswerBody::new(
            incoming,
            self.deadline,
            connection,
            measurement,
            slot,
            parts.status,
            self.in_flight,
        );
        Response::from_parts(parts, BodyExt::boxed(body))
    }
}

/// Makes the request that is sent on: origin form, HTTP/1.1, no hop-by-hop headers.
pub(super) fn prepare(request: Request<Incoming>) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    // The request target goes before the header (RFC 9112, section 3.2.2).
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query() {
        parts.uri = Uri::from(path.clone());
    }
    parts.version = HttpVersion::HTTP_11;
    Request::from_parts(parts, body.map_err(BodyError::Cut).boxed())
}
