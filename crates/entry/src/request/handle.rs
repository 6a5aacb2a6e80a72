//! The first and the last stage of a caller's request.

use super::body::ResponseBody;
use super::caller::Caller;
use super::caller_body::{BodyReader, CallerBody};
use super::deadline::with_deadline;
use super::exchange::{Exchange, InFlightGuard};
use super::headers::remove_hop_by_hop;
use super::problem::Problem;
use super::run;
use crate::connection::open_connections::ConnectionId;
use crate::connection::response::is_chunked;
use crate::platform_api::CallerHead;
use crate::process::instance::Instance;
use crate::process::instance::StopPhase;
use crate::process::millis::millis;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;
use steering::deployment::Authentication;
use steering::placement::rank::name_hash;

/// Answers a caller's request.
pub async fn handle(instance: Rc<Instance>, request: Request<Incoming>) -> Response<ResponseBody> {
    let in_flight = InFlightGuard::enter(&instance);
    let head = instance.wire.decode_caller_head(request.headers());
    let id = head.request_id.clone().unwrap_or_default();
    let was_leaving = *instance.stop.borrow() != StopPhase::Running;
    let mut response = match accept(&instance, request, head).await {
        Ok((exchange, body)) => run::run(exchange, body, in_flight).await,
        Err(problem) => {
            instance.metrics.requests.with_label_values(&["", problem.as_str()]).inc();
            log::info!(
                target: "request",
                id = &*id, outcome = problem.as_str(), version = instance.active_configuration.borrow().version;
                "request not accepted"
            );
            problem.response()
        }
    };
    if was_leaving || *instance.stop.borrow() != StopPhase::Running {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads the head, finds the route and the customer, and buffers a short body.
async fn accept(
    instance: &Rc<Instance>,
    request: Request<Incoming>,
    head: CallerHead,
) -> Result<(Exchange, CallerBody), Problem> {
    let Caller { host: caller, waited } = Caller::of(&request);
    let started = instance.clock.now() - waited;
    if !instance.has_required_state() {
        return Err(Problem::NoConfiguration);
    }
    let configuration = instance.active_configuration.borrow().clone();
    let host = host_of(&request).ok_or(Problem::NoRoute)?;
    // The route comes first, as it says whether a key is needed.
    let route =
        configuration.routes.find(host, request.uri().path()).cloned().ok_or(Problem::NoRoute)?;
    let host = host.into();
    let customer = match configuration.customers.authenticate(head.key, route.is_public) {
        Authentication::NotRequired => None,
        Authentication::Customer(customer) => Some(customer),
        Authentication::Failed => return Err(Problem::UnknownKey),
    };
    // The server would take the body for another one, as the coding is not passed on.
    is_chunked(request.headers()).map_err(|_| Problem::UnknownCoding)?;
    let mut headers = request.headers().clone();
    remove_hop_by_hop(&mut headers);
    instance.wire.remove_customer_headers(&mut headers);
    let (method, target) = (request.method().clone(), request.uri().clone());
    let max_wait = head.deadline.unwrap_or(Duration::MAX).min(route.timeout);
    let deadline = started + max_wait;
    let deadline = instance.stop_deadline.get().map_or(deadline, |latest| latest.min(deadline));
    let service = instance.service_selectors.select(&route).ok_or(Problem::NoRoute)?;
    let connection_id = request.extensions().get::<ConnectionId>();
    let reader = BodyReader {
        instance,
        connection: connection_id.and_then(|id| instance.connections.get(*id)),
        service: &service,
        request_id: head.request_id.as_deref().unwrap_or(""),
        limit_bytes: configuration.body_limit_bytes,
    };
    let body = reader.read(request.into_body());
    let body = with_deadline(instance, deadline, body).await.ok_or(Problem::BodyTimeout)??;
    let time_left = deadline.since(instance.clock.now());
    if waited >= max_wait / 2 {
        log::info!(
            target: "request",
            id = head.request_id.as_deref().unwrap_or(""), waited_ms = millis(waited),
            time_left_ms = millis(time_left);
            "waited before its handling began"
        );
    }
    if time_left.is_zero() {
        return Err(Problem::TimeoutBeforeSend);
    }
    let key_hash = match &head.affinity_key {
        Some(key) if route.affinity => name_hash(key) ^ name_hash(&service),
        _ => rand::random(),
    };
    let arm = instance.roster.borrow().arm_of(key_hash);
    let exchange = Exchange {
        instance: instance.clone(),
        version: configuration.version,
        is_large_customer: customer
            .as_ref()
            .is_some_and(|customer| configuration.customers.is_large(&customer.name)),
        customer,
        service,
        head,
        caller,
        host,
        method,
        target,
        headers,
        body: body.buffered(),
        fingerprints: OnceCell::new(),
        key_hash,
        arm,
        started,
        deadline,
        route,
    };
    Ok((exchange, body))
}

/// The host that a request names: the one in its target takes precedence over the header (RFC 9112,
/// section 3.2.2).
fn host_of(request: &Request<Incoming>) -> Option<&str> {
    let host_header = || request.headers().get(HOST).and_then(|host| host.to_str().ok());
    request.uri().authority().map(http::uri::Authority::as_str).or_else(host_header)
}
