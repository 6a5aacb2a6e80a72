//! Relays a request of another instance to the backend server that it chose.
//!
//! The sending instance decides on the backend server, retries and timeouts. The relay reports to it
//! whether the request was sent.

use super::attempt_failure::is_from_server;
use super::attempt_guard::DirectExchangeGuard;
use super::body::{BodyError, RequestBody, ResponseBody, ServerBody, full_body};
use super::caller::Caller;
use super::exchange::InFlightGuard;
use super::headers::{keep_alive_timeout, remove_hop_by_hop};
use super::pooled_body::PooledBody;
use super::server_connection::connection_limit;
use super::server_stream::{ServerBodyError, ServerStream};
use crate::connection::carried::ConnectionLabel;
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relay_protocol::{
    Destination, RelayOutcome, RemainingBackoff, write_backoffs,
};
use crate::connection::response::{CheckedResponse, ResponseError};
use crate::process::conditions;
use crate::process::instance::Instance;
use crate::process::millis::millis;
use crate::process::reach;
use http::header::HeaderValue;
use http::{HeaderName, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::reach::Failure;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Requests that an instance relays at a time; more would take the memory of the smallest instances,
/// as each needs the buffers of two connections.
const MAX_RELAYED_REQUESTS: usize = 256;

/// Most backoffs that a sender is told at a time; a response with many more headers is not read.
const MAX_BACKOFFS: usize = 32;

/// Why a request was not forwarded, or got no response.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    #[error("no known instance at {0}")]
    UnknownSender(IpAddr),
    #[error("state not resynchronized since a suspension")]
    StaleState,
    #[error("its time was over after it had waited for up to {0:?}")]
    Expired(Duration),
    #[error("no known backend server at this address")]
    UnknownServer,
    #[error("no backend server of the service is reached")]
    CutOff,
    #[error("the backend server asked for a backoff, {left:?} of it left")]
    BackingOff {
        left: Duration,
        /// Whether the sender knows this outcome.
        is_known: bool,
        /// Those that the sender is told, that of the destination first.
        backoffs: Vec<RemainingBackoff>,
    },
    #[error("{0} requests of other instances are under way")]
    Busy(usize),
    #[error(transparent)]
    Pool(#[from] PoolError),
    #[error("connection was already closed")]
    Closed,
    #[error("no response: {0}")]
    Sending(hyper::Error),
    #[error("spoilt response: {0}")]
    SpoiltResponse(#[from] ResponseError),
    #[error("spoilt response body: {0}")]
    SpoiltBody(#[from] ServerBodyError),
    #[error("response to another request")]
    MismatchedResponse,
}

impl RelayError {
    fn outcome(&self) -> RelayOutcome {
        match self {
            Self::UnknownSender(_)
            | Self::StaleState
            | Self::UnknownServer
            | Self::CutOff
            | Self::Busy(_)
            | Self::Closed => RelayOutcome::NotSent,
            Self::Expired(_) => RelayOutcome::Expired,
            Self::BackingOff { is_known: true, .. } => RelayOutcome::BackingOff,
            // Of the outcomes that earlier versions know, the one after which they choose another server.
            Self::BackingOff { is_known: false, .. } => RelayOutcome::Unreachable,
            Self::Pool(error) if error.is_own() => RelayOutcome::NotSent,
            Self::Pool(_) => RelayOutcome::Unreachable,
            Self::Sending(_)
            | Self::SpoiltResponse(_)
            | Self::SpoiltBody(_)
            | Self::MismatchedResponse => RelayOutcome::Broken,
        }
    }
}

/// Answers the instance that sent the request, with the backend server's response if there is one.
pub(super) async fn handle(
    instance: Rc<Instance>,
    request: Request<Incoming>,
    destination: Destination,
) -> Response<ResponseBody> {
    let in_flight = InFlightGuard::enter(&instance);
    let request_id = instance.wire.decode_caller_head(request.headers()).request_id;
    let forwarded = forward(&instance, request, &destination, in_flight).await;
    let outcome = forwarded.as_ref().map_or_else(RelayError::outcome, |_| RelayOutcome::Forwarded);
    instance.metrics.relayed.with_label_values(&[outcome.as_str()]).inc();
    let mut response = forwarded.unwrap_or_else(|why| {
        log::info!(
            target: "request",
            id = request_id.as_deref().unwrap_or(""), server = &*destination.server.id,
            outcome = outcome.as_str(), why:%;
            "request not relayed"
        );
        let mut response = Response::new(full_body(""));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        if let RelayError::BackingOff { backoffs, .. } = &why {
            write_backoffs(response.headers_mut(), backoffs);
        }
        response
    });
    outcome.write_to(response.headers_mut());
    let idle_timeout = instance.replica.borrow().configuration.content.limits.idle_timeout;
    if let Ok(value) = HeaderValue::try_from(format!("timeout={}", idle_timeout.as_secs())) {
        response.headers_mut().insert(KEEP_ALIVE, value);
    }
    response
}

async fn forward(
    instance: &Rc<Instance>,
    request: Request<Incoming>,
    destination: &Destination,
    in_flight: InFlightGuard,
) -> Result<Response<ResponseBody>, RelayError> {
    let Caller { host: sender, waited } = Caller::of(&request);
    let received_at = instance.clock.now() - waited;
    let head = instance.wire.decode_caller_head(request.headers());
    let request_id = head.request_id.as_deref();
    let Destination { server, address, .. } = destination;
    let service = destination_service(instance, sender, destination)?;
    check_backoff(instance, &service, destination)?;
    let is_cut_off = |is_connection_new: bool| {
        instance.reach.borrow().is_cut_off_over(&service, is_connection_new)
    };
    if is_cut_off(!instance.pools.has_idle(server, request_id)) {
        return Err(RelayError::CutOff);
    }
    let relayed = RelayedGuard::enter(instance)?;
    let limit = connection_limit(instance, &service);
    let started = Instant::now();
    let acquired = instance.pools.acquire(server, *address, limit, request_id).await;
    if acquired.as_ref().is_err_and(|error| !error.is_own()) {
        reach::record_failure(instance, &service, server, Failure::Connecting, started);
        // Nothing is known of the backend server then.
        if is_cut_off(true) {
            return Err(RelayError::CutOff);
        }
    }
    let mut connection = acquired?;
    if connection.is_new {
        instance.metrics.connections.with_label_values(&[&*service]).inc();
    }
    // It may have asked for one while the connection was opened.
    if let Err(error) = check_backoff(instance, &service, destination) {
        instance.pools.release(connection, None);
        return Err(error);
    }
    let mut request = to_server_request(request);
    if let Some(deadline) = head.deadline {
        // The connection waits for its turn before it writes the request.
        let turn_delay = instance.standstills.turn_delay(Instant::now());
        let spent = instance.clock.now().since(received_at) + turn_delay;
        let time_left = deadline.saturating_sub(spent);
        if time_left.is_zero() {
            instance.pools.release(connection, None);
            return Err(RelayError::Expired(waited));
        }
        instance.wire.add_server_headers(request.headers_mut(), time_left, &server.id, None);
    }
    let sent_at = Instant::now();
    let exchange_guard = DirectExchangeGuard::enter(instance);
    let response = connection.send(request).await.map_err(|mut error| {
        if error.take_message().is_some() {
            instance.pools.close_idle(server);
            return RelayError::Closed;
        }
        if !is_from_server(error.error()) {
            let failure = Failure::broken(connection.is_new);
            reach::record_failure(instance, &service, server, failure, sent_at);
        }
        RelayError::Sending(error.into_error())
    })?;
    drop(exchange_guard);
    reach::record_response(instance, &service, connection.is_new);
    let server_head =
        instance.wire.decode_server_head(response.status(), response.headers(), request_id);
    if !server_head.is_for_request {
        return Err(RelayError::MismatchedResponse);
    }
    let CheckedResponse { mut parts, framing, body } = CheckedResponse::try_from(response)?;
    if !server_head.replaced {
        conditions::record_condition(instance, server, server_head.condition, request_id);
    }
    if server_head.not_run {
        let ConnectionLabel { local_port, exchange } = connection.carried.label();
        log::info!(
            target: "request",
            id = request_id.unwrap_or(""), server = &*server.id,
            status = parts.status.as_str(), local_port, exchange, sender:%,
            rest_ms = millis(server_head.condition.backoff.unwrap_or_default());
            "rejection passed on"
        );
    }
    // A rejection may come once more.
    let idle_timeout = keep_alive_timeout(&parts.headers).ok().filter(|_| !server_head.not_run);
    let stream = ServerStream::new(body, framing, connection.remainder.clone());
    let body = ServerBody::read(stream, &instance.memory).await?;
    let reusable = idle_timeout.map(|idle_timeout| (connection, idle_timeout));
    remove_hop_by_hop(&mut parts.headers);
    Ok(Response::from_parts(parts, response_body(instance, body, reusable, (in_flight, relayed))))
}

/// Counts a relayed request until its response has been passed on, as far as it is not buffered.
struct RelayedGuard(Rc<Instance>);

impl RelayedGuard {
    /// Counts one more request.
    ///
    /// # Errors
    ///
    /// Fails if there are too many.
    fn enter(instance: &Rc<Instance>) -> Result<Self, RelayError> {
        let count = instance.relayed_in_flight.get();
        if count >= MAX_RELAYED_REQUESTS {
            return Err(RelayError::Busy(count));
        }
        instance.relayed_in_flight.set(count + 1);
        Ok(Self(instance.clone()))
    }
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.0.relayed_in_flight.set(self.0.relayed_in_flight.get() - 1);
    }
}

/// The service of the destination, if the sender may use this relay and the destination is known.
///
/// # Errors
///
/// Fails if the sender is no known instance, or the backend server is not known for certain.
fn destination_service(
    instance: &Instance,
    sender: IpAddr,
    Destination { server, address, .. }: &Destination,
) -> Result<Arc<str>, RelayError> {
    // Requests from other hosts were not checked for a key nor counted against a quota.
    if !instance.peers.borrow().has_host(sender) {
        return Err(RelayError::UnknownSender(sender));
    }
    // The request may have waited since before this machine was suspended.
    if !instance.is_resynced() {
        return Err(RelayError::StaleState);
    }
    let service = instance.roster.borrow().service_at(server, *address).cloned();
    service.ok_or(RelayError::UnknownServer)
}

/// Checks that the destination has not asked this instance for a backoff.
///
/// # Errors
///
/// Fails if it has, with the backoffs of the service's backend servers of this availability zone.
fn check_backoff(
    instance: &Instance,
    service: &str,
    Destination { server, knows_backoffs, .. }: &Destination,
) -> Result<(), RelayError> {
    let now = Instant::now();
    let roster = instance.roster.borrow();
    let left = roster.backoff_left(server, now);
    if left.is_zero() {
        return Ok(());
    }
    // A sender reaches the others of this zone through this instance, and may reach those elsewhere itself.
    let others = roster.backoffs_in_zone(service, now).filter(|(other, _)| other != server);
    let own = std::iter::once((server.clone(), left));
    let backoffs = own.chain(others).take(MAX_BACKOFFS).collect();
    Err(RelayError::BackingOff { left, is_known: *knows_backoffs, backoffs })
}

/// Converts the request into the one for the backend server.
fn to_server_request(request: Request<Incoming>) -> Request<RequestBody> {
    let mut request = request.map(|body| -> RequestBody {
        Box::pin(body.map_err(|error| Box::new(error) as BodyError))
    });
    let target = request.uri().path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    remove_hop_by_hop(request.headers_mut());
    request
}

/// The body of the response; `reusable` is its connection with the idle timeout, unless it is closed.
fn response_body(
    instance: &Instance,
    body: ServerBody,
    reusable: Option<(Connection, Option<Duration>)>,
    guards: (InFlightGuard, RelayedGuard),
) -> ResponseBody {
    match body {
        ServerBody::Buffered(bytes) => {
            if let Some((connection, idle_timeout)) = reusable {
                instance.pools.release(connection, idle_timeout);
            }
            full_body(bytes)
        }
        ServerBody::Streaming(incoming) => {
            let body = PooledBody::new(incoming, instance.pools.clone(), reusable);
            Box::pin(body.map_frame(move |frame| {
                // A planned stop waits until the body has been sent, and its buffers are in use until then.
                let _ = &guards;
                frame
            }))
        }
    }
}
