//! Passing a request of another instance on to the backend server that it chose.
//!
//! Nothing is decided here: which backend server, how often and for how long is up to the instance
//! that the caller asked, which is told truly what became of the request.

use super::body::{AnswerBody, BodyError, RequestBody, ServerBody, whole};
use super::caller::Caller;
use super::exchange::InFlight;
use super::headers::{remove_hop_by_hop, rest_of};
use super::kept_body::KeptBody;
use super::way::connection_limit;
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relaying::{Destination, Relayed};
use crate::process::instance::Instance;
use http::header::HeaderValue;
use http::{HeaderName, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a request was not passed on, or no answer came.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    #[error("no instance is known at {0}")]
    Stranger(IpAddr),
    #[error("what is known is from before a suspension")]
    Unsettled,
    #[error("the backend server is not known at this address")]
    Unknown,
    #[error(transparent)]
    Pool(#[from] PoolError),
    #[error("the connection was closed already")]
    Closed,
    #[error("no answer: {0}")]
    Sending(hyper::Error),
    #[error("the answer was cut: {0}")]
    Answer(hyper::Error),
    #[error("answer to another request")]
    Foreign,
}

impl RelayError {
    fn outcome(&self) -> Relayed {
        match self {
            Self::Stranger(_) | Self::Unsettled | Self::Unknown | Self::Closed => Relayed::NotSent,
            Self::Pool(PoolError::Limit(_)) => Relayed::NotSent,
            Self::Pool(PoolError::Dial(_) | PoolError::Handshake(_)) => Relayed::Unreachable,
            Self::Sending(_) | Self::Answer(_) | Self::Foreign => Relayed::Broken,
        }
    }
}

/// Answers the instance that sent the request, with the backend server's answer if there is one.
pub(super) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
    destination: Destination,
) -> Response<AnswerBody> {
    let in_flight = InFlight::enter(&instance);
    let request_id = instance.wire.decode_caller_head(request.headers()).request_id;
    let passed = pass_on(&instance, request, &destination, in_flight).await;
    let outcome = passed.as_ref().map_or_else(RelayError::outcome, |_| Relayed::PassedOn);
    instance.metrics.relayed.with_label_values(&[outcome.as_str()]).inc();
    let mut response = passed.unwrap_or_else(|why| {
        log::info!(
            target: "request",
            id = request_id.as_deref().unwrap_or(""), server = &*destination.server.id,
            outcome = outcome.as_str(), why:%;
            "not passed on"
        );
        let mut response = Response::new(whole(""));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    });
    outcome.write(response.headers_mut());
    let rest = instance.replica.borrow().configuration.content.limits.idle_timeout;
    if let Ok(value) = HeaderValue::try_from(format!("timeout={}", rest.as_secs())) {
        response.headers_mut().insert(KEEP_ALIVE, value);
    }
    response
}

async fn pass_on(
    instance: &Rc<Instance>,
    request: Request<Incoming>,
    destination: &Destination,
    in_flight: InFlight,
) -> Result<Response<AnswerBody>, RelayError> {
    let came_at = instance.clock.now();
    let Destination { server, address } = destination;
    let service = service_of(instance, Caller::of(&request), destination)?;
    let limit = connection_limit(instance, &service);
    let mut connection = instance.pools.take(server, *address, limit).await?;
    if connection.is_new {
        instance.metrics.connections.with_label_values(&[&*service]).inc();
    }
    let head = instance.wire.decode_caller_head(request.headers());
    let mut request = for_server(request);
    if let Some(deadline) = head.deadline {
        let left = deadline.saturating_sub(instance.clock.now().since(came_at));
        instance.wire.add_server_headers(request.headers_mut(), left, &server.id, None);
    }
    let response = connection.sender.try_send_request(request).await.map_err(|mut error| {
        if error.take_message().is_some() {
            instance.pools.forget(server);
            return RelayError::Closed;
        }
        RelayError::Sending(error.into_error())
    })?;
    let seen = instance.wire.decode_server_head(
        response.status(),
        response.headers(),
        head.request_id.as_deref(),
    );
    if !seen.is_for_request {
        return Err(RelayError::Foreign);
    }
    let (mut parts, incoming) = response.into_parts();
    let rest = rest_of(&parts.headers).ok().filter(|_| !seen.replaced);
    let kept = rest.map(|rest| (connection, rest));
    let read = ServerBody::read(incoming, &parts.headers).await.map_err(RelayError::Answer)?;
    remove_hop_by_hop(&mut parts.headers);
    Ok(Response::from_parts(parts, body_of(instance, read, kept, in_flight)))
}

/// The service of the backend server that a host asks for, if a request may be passed on to it.
fn service_of(
    instance: &Instance,
    sender: IpAddr,
    Destination { server, address }: &Destination,
) -> Result<Arc<str>, RelayError> {
    // What comes from elsewhere was asked for no key and counted towards no quota.
    if !instance.peers.borrow().is_host(sender) {
        return Err(RelayError::Stranger(sender));
    }
    // It may have waited for as long as this machine stood still.
    if !instance.is_resynced() {
        return Err(RelayError::Unsettled);
    }
    let service = instance.roster.borrow().service_at(server, *address).cloned();
    service.ok_or(RelayError::Unknown)
}

/// The request as the backend server gets it.
fn for_server(request: Request<Incoming>) -> Request<RequestBody> {
    let mut request = request.map(|body| -> RequestBody {
        Box::pin(body.map_err(|error| Box::new(error) as BodyError))
    });
    let target = request.uri().path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    remove_hop_by_hop(request.headers_mut());
    request
}

/// The body of the answer; `kept` is its connection, if that is used again.
fn body_of(
    instance: &Instance,
    read: ServerBody,
    kept: Option<(Connection, Option<Duration>)>,
    in_flight: InFlight,
) -> AnswerBody {
    match read {
        ServerBody::Whole(bytes) => {
            if let Some((connection, rest)) = kept {
                instance.pools.keep(connection, rest);
            }
            whole(bytes)
        }
        ServerBody::Stream(incoming) => {
            let body = KeptBody::new(incoming, instance.pools.clone(), kept);
            Box::pin(body.map_frame(move |frame| {
                // A planned stop waits for the last of it.
                let _ = &in_flight;
                frame
            }))
        }
    }
}
