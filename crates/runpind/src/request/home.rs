//! Passing a request on to the instance that is the home of its idempotency key.
//!
//! The request and its answer are streamed over HTTP to the home's address for callers.  The home
//! decides alone, and its answer is passed on as it is.

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

/// Names the instance that passed the request on; such a request is not passed on again.
const FORWARDED_HEADER: &str = "runpin-forwarded-by";

/// Most connections to one home at once, for requests passed on to it.
const MAX_CONNECTIONS: u32 = 256;

/// Passes the request on to its home and returns the home's answer.
pub(super) async fn forward(
    exchange: Exchange,
    request: Request<Incoming>,
    home: Incarnation,
) -> Response<Body> {
    let metrics = exchange.process.ledger.metrics.clone();
    match try_forward(&exchange, request, home).await {
        Ok((response, connection)) => {
            metrics.count_decision("forwarded");
            pass_home_answer_on(exchange, response, connection)
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
    let member = find(&members, home, &process.settings.name)?;
    if request.headers().contains_key(FORWARDED_HEADER) {
        // The sender and we differ on who the home is, which passes.
        return Err(KeyProblem::HomeUnreachable.into());
    }
    let mut request = prepare(request);
    let own = HeaderValue::from_str(&process.incarnation.to_string());
    request.headers_mut().insert(FORWARDED_HEADER, own.map_err(|_| Problem::NoConfiguration)?);
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

/// Finds the instance that decides for `home`, other than this one.
fn find<'a>(
    members: &'a Members,
    home: Incarnation,
    own_name: &str,
) -> Result<&'a Member, KeyProblem> {
    let is_other = |member: &&Member| *member.name != *own_name;
    if let Some(member) = members.find_home(home).filter(is_other) {
        return Ok(member);
    }
    // An instance that was not heard from yet may be the home.
    let unheard = |member: &Member| member.incarnation.is_none() && *member.name != *own_name;
    match members.members.iter().any(unheard) {
        true => Err(KeyProblem::HomeUnreachable),
        false => Err(KeyProblem::HomeGone),
    }
}

/// Tells whether no other instance was heard from, so that there is no way to any home.
pub(super) fn is_alone(process: &Process) -> bool {
    let members = process.members.load();
    let other =
        |member: &Member| member.incarnation.is_some() && member.name != process.settings.name;
    !members.iter().any(|members| members.members.iter().any(other))
}

fn pass_home_answer_on(
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

/// The body of a home's answer; its connection is closed with it.
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
        polled.map(|frame| frame.map(|frame| frame.map_err(BodyError::Cut)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
