//! Forwards a request to the instance that is the home of its idempotency key.
//!
//! The request is streamed over HTTP to the home's address for callers.  Only the home decides
//! whether the request runs, and its response is returned unchanged.

use super::body::{Body, BodyError};
use super::headers::remove_hop_by_hop;
use super::key_problem::KeyProblem;
use super::prepare::prepare;
use super::problem::Problem;
use super::refuse::refuse;
use super::state::Exchange;
use crate::connection::dialer::Endpoint;
use crate::connection::pool::PooledConnection;
use crate::process::membership::{Member, Members};
use crate::process::{InFlight, Process};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use steering::Incarnation;
use tokio::time::Sleep;

/// Names the instance that forwarded the request; such a request is not forwarded again.
const FORWARDED_HEADER: &str = "runpin-forwarded-by";

/// Most simultaneous connections to one home, for requests forwarded to it.
const MAX_CONNECTIONS: u32 = 256;

/// Forwards the request to its home and returns the home's response.
pub(super) async fn forward(
    exchange: Exchange,
    request: Request<Incoming>,
    home: Incarnation,
) -> Response<Body> {
    let metrics = exchange.process.ledger.metrics.clone();
    match try_forward(&exchange, request, home).await {
        Ok((response, connection)) => {
            metrics.count_decision("forwarded");
            forward_home_response(exchange, response, connection)
        }
        Err(problem) => {
            if let Problem::Key(problem) = &problem {
                metrics.count_decision(problem.kind());
            }
            refuse(&exchange, problem)
        }
    }
}

async fn try_forward(
    exchange: &Exchange,
    request: Request<Incoming>,
    home: Incarnation,
) -> Result<(Response<Incoming>, PooledConnection), Problem> {
    let process = &exchange.process;
    let members = process.members.load_full().unwrap_or_default();
    let member = find_home(&members, home, &process.settings.name)?;
    if request.headers().contains_key(FORWARDED_HEADER) {
        // This instance and the sender temporarily disagree about which instance is the home.
        return Err(KeyProblem::HomeUnreachable.into());
    }
    let mut request = prepare(request);
    let forwarded_by = HeaderValue::from_str(&process.incarnation.to_string());
    request
        .headers_mut()
        .insert(FORWARDED_HEADER, forwarded_by.map_err(|_| Problem::NoConfiguration)?);
    exchange.set_timeout(&mut request)?;
    let endpoint = Endpoint {
        address: member.caller_address,
        availability_zone: member.availability_zone.clone(),
    };
    let connecting = process.pools.connect(&*process.dialer, &endpoint, MAX_CONNECTIONS);
    let connected = tokio::time::timeout_at(exchange.deadline, connecting).await;
    let Ok(Ok(mut connection)) = connected else { return Err(KeyProblem::HomeUnreachable.into()) };
    let sender = connection.sender.as_mut().ok_or(KeyProblem::HomeUnreachable)?;
    let sending = sender.try_send_request(request);
    match tokio::time::timeout_at(exchange.deadline, sending).await {
        Ok(Ok(response)) => Ok((response, connection)),
        Ok(Err(mut error)) => Err(match error.take_message() {
            Some(_) => KeyProblem::HomeUnreachable.into(),
            None => KeyProblem::HomeBroken.into(),
        }),
        Err(_) => Err(KeyProblem::HomeBroken.into()),
    }
}

/// Finds the instance, other than this one, that is `home` or has taken over its keys.
fn find_home<'a>(
    members: &'a Members,
    home: Incarnation,
    own_name: &str,
) -> Result<&'a Member, KeyProblem> {
    let is_other = |member: &&Member| *member.name != *own_name;
    if let Some(member) = members.find_home(home).filter(is_other) {
        return Ok(member);
    }
    // An instance whose incarnation is not known yet may be the home.
    let has_unknown_incarnation =
        |member: &Member| member.incarnation.is_none() && *member.name != *own_name;
    match members.members.iter().any(has_unknown_incarnation) {
        true => Err(KeyProblem::HomeUnreachable),
        false => Err(KeyProblem::HomeGone),
    }
}

/// Returns whether no other instance's incarnation is known, so that no home can be found.
pub(super) fn knows_no_other_instance(process: &Process) -> bool {
    let members = process.members.load();
    let is_known_other =
        |member: &Member| member.incarnation.is_some() && member.name != process.settings.name;
    !members.iter().any(|members| members.members.iter().any(is_known_other))
}

fn forward_home_response(
    exchange: Exchange,
    response: Response<Incoming>,
    connection: PooledConnection,
) -> Response<Body> {
    let (mut parts, incoming) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    parts.version = Version::default();
    exchange.process.metrics.count_request(&exchange.service().name, exchange.class, "forwarded");
    let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
    let in_flight = exchange.into_in_flight();
    let body = HomeBody { incoming, deadline, _connection: connection, _in_flight: in_flight };
    Response::from_parts(parts, body.boxed())
}

/// The body of a home's response; its connection is closed when it is dropped.
struct HomeBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    _connection: PooledConnection,
    _in_flight: InFlight,
}

impl http_body::Body for HomeBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(BodyError::Timeout)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        polled.map(|frame| frame.map(|frame| frame.map_err(BodyError::Truncated)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
