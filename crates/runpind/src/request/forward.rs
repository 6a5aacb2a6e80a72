//! Forwards a request to a backend server and streams the response back, in these stages:
//!
//! 1. [`Admission`] queues the request while there is no capacity, and refuses it if there will be
//!    none in time.
//! 2. [`route`] ranks the sites that may run the request, by the policy of the caller's arm.
//! 3. [`reserve`] acquires shares of the link and the site.
//! 4. [`attempt`] sends the request to one backend server.
//! 5. [`ResponseBody`] streams the response to the caller.

use super::admit::Admission;
use super::attempt::{self, Attempt};
use super::body::Body;
use super::exchange::{ExchangeConnection, Measurement, ResponseBody, Slot};
use super::headers::{self, ARM_HEADER, closes_connection, remove_hop_by_hop};
use super::outcome::{OUTCOME_HEADER, Outcome, Shed};
use super::prepare::prepare;
use super::problem::Problem;
use super::reserve;
use super::retry::Retry;
use super::route::{self, Route};
use super::state::Exchange;
use super::upload::upload;
use crate::connection::dialer::Endpoint;
use crate::connection::pool::PooledConnection;
use configuration::SiteIndex;
use http::{HeaderValue, Request, Response, StatusCode, Version as HttpVersion};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Attempts to send a request, each to one backend server, before an unsent one is refused.
const MAX_ATTEMPTS: u32 = 4;

/// Runs the request, and returns the backend server's response or a refusal.
pub(super) async fn run(exchange: Exchange, request: Request<Incoming>) -> Response<Body> {
    let process = exchange.process.clone();
    let flow = exchange.flow_name(route::arm_of(&exchange));
    match send(exchange, request).await {
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

/// Tries one backend server after another until the request has been sent to one of them.
///
/// While there is no capacity, the request waits in the queue of its service.
async fn send(exchange: Exchange, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let mut admission = Admission::new(request.headers());
    let service = exchange.service().name.clone();
    let uploads = exchange.process.uploads.clone();
    let request = prepare(request).map(|body| upload(body, &uploads, &service));
    let (mut retry, mut request) = Retry::for_request(&exchange, request);
    let method = request.method().clone();
    admission.wait_for_turn(&exchange).await?;
    let mut route = route::choose(&exchange);
    if route.sites.is_empty() {
        // No site may take the request, so waiting for capacity would not help.
        return Err(Problem::NoCapacity);
    }
    let mut attempts = 0;
    loop {
        let Some((site, mut slot, endpoint)) = acquire_slot(&exchange, &route) else {
            uploads.end_one(&service);
            admission.wait_for_capacity(&exchange).await?;
            continue;
        };
        admission.leave_queue();
        attempts += 1;
        exchange.set_timeout(&mut request)?;
        match attempt::send(&exchange, &mut slot, &endpoint, request).await? {
            Attempt::Responded(response, connection) => {
                let response = headers::check_response(&method, response)?;
                return Ok(forward_response(exchange, response, connection, slot, &route));
            }
            Attempt::NotSent(returned) if attempts < MAX_ATTEMPTS => request = returned,
            Attempt::NotSent(_) => return Err(Problem::NoCapacity),
            Attempt::Failed => {
                request = retry.take_request(&exchange).ok_or(Problem::BrokenExchange)?
            }
        }
        if slot.has_failed() {
            // The failed site moves behind all others for the remaining attempts.
            route.sites.sort_by_key(|other| *other == site);
        }
    }
}

/// Acquires the shares and the slot for one attempt, at the best site that has both.
fn acquire_slot(exchange: &Exchange, route: &Route) -> Option<(SiteIndex, Slot, Endpoint)> {
    route.sites.iter().enumerate().find_map(|(position, site)| {
        let reservation = reserve::acquire(exchange, *site, position).ok()?;
        let (slot, endpoint) = attempt::acquire_slot(exchange, *site, reservation)?;
        Some((*site, slot, endpoint))
    })
}

/// Turns a backend server's response into the response to the caller.
fn forward_response(
    exchange: Exchange,
    response: Response<Incoming>,
    connection: PooledConnection,
    slot: Slot,
    route: &Route,
) -> Response<Body> {
    let (mut parts, incoming) = response.into_parts();
    let reusable = !closes_connection(&parts.headers);
    remove_hop_by_hop(&mut parts.headers);
    parts.version = HttpVersion::default();
    // Only this instance may set the outcome header.
    parts.headers.remove(OUTCOME_HEADER);
    if let Ok(arm) = HeaderValue::from_str(&route.arm) {
        parts.headers.insert(ARM_HEADER, arm);
    }
    if parts.status == StatusCode::SERVICE_UNAVAILABLE && exchange.service().shed_status_not_run {
        let not_run = Outcome::NotRun;
        parts.headers.insert(OUTCOME_HEADER, HeaderValue::from_static(not_run.as_str()));
        parts.extensions.insert(not_run);
        parts.extensions.insert(Shed);
    }
    let measurement = Measurement {
        process: exchange.process.clone(),
        flow: exchange.flow_name(route.arm.clone()),
        started: exchange.started,
    };
    let connection = ExchangeConnection { connection, reusable };
    let deadline = exchange.deadline;
    let body = ResponseBody::new(
        incoming,
        deadline,
        connection,
        measurement,
        slot,
        parts.status,
        exchange.into_in_flight(),
    );
    Response::from_parts(parts, BodyExt::boxed(body))
}
