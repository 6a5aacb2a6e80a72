//! Sending a request to one backend server and judging its answer.

use super::body::{RequestBody, ServerBody};
use super::exchange::Exchange;
use crate::border::ServerHead;
use crate::connection::pool::{Connection, PoolError};
use crate::process::ended::closed_under;
use crate::process::instance::Instance;
use crate::process::{conditions, suspicions};
use http::header::CONNECTION;
use http::{HeaderMap, Request, StatusCode, Uri};
use hyper::client::conn::http1::SendRequest;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::Route;
use steering::placement::load::LoadReport;
use steering::placement::{Choice, Ending, Incarnation};
use steering::rollout::{Observation, OrderId};

/// Connections to one backend server that this instance may open in any case.
const LEAST_CONNECTIONS: usize = 2;

/// Longest body of a request that is remembered as sound; its fingerprint takes some microseconds.
const SHORT_BYTES: usize = 1024;

/// Statuses that promise a caller that its request has not run.
const PROMISES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// An answer of a backend server.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ServerBody,
    pub(super) work: Work,
    /// The connection, to be kept when the body is whole.
    pub(super) sender: SendRequest<RequestBody>,
}

/// How an attempt ended.
pub(super) enum Attempt {
    /// The backend server answered.
    Answered(Box<Answer>),
    /// Nothing of the request reached it.
    NotSent,
    /// It has not run the request and never will.
    NotRun,
    /// As [`Attempt::NotRun`], although it had room by its own report: it may be asked again.
    Refused,
    /// It may have run the request, and no answer came that can be used.
    Broken,
}

impl Attempt {
    /// Name for operators.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent => "not sent",
            Self::NotRun => "not run",
            Self::Refused => "refused",
            Self::Broken => "broken",
        }
    }
}

/// A request at a backend server; the roster is told of its end.
pub(super) struct Work {
    instance: Rc<Instance>,
    pub(super) server: Incarnation,
    service: Arc<str>,
    route: Arc<Route>,
    /// The order to bring in a version that it is counted for.
    counted_for: Option<OrderId>,
    /// Whether the backend server has that version, was cold, and had the object warm.
    is_target: bool,
    was_cold: bool,
    known_warm: bool,
    pub(super) sent_at: Instant,
    /// Whether a connection came up and the request was begun to be sent.
    was_sent: bool,
    ending: Ending,
    report: Option<LoadReport>,
}

impl Work {
    /// Begins when a backend server was chosen, which counts the request at it.
    pub(super) fn new(exchange: &Exchange, choice: &Choice) -> Self {
        let mut rollouts = exchange.instance.rollouts.borrow_mut();
        Self {
            counted_for: rollouts.sent(&exchange.service, choice.is_target),
            instance: exchange.instance.clone(),
            server: choice.incarnation(),
            service: exchange.service.clone(),
            route: exchange.route.clone(),
            is_target: choice.is_target,
            was_cold: choice.cold,
            known_warm: choice.known_warm,
            sent_at: Instant::now(),
            was_sent: false,
            ending: Ending::Abandoned,
            report: None,
        }
    }

    pub(super) fn ended(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let name = match self.ending {
            Ending::Answered { .. } => "answered",
            Ending::Erred => "erred",
            Ending::Shed => "shed",
            Ending::Failed => "failed",
            Ending::Replaced => "replaced",
            Ending::Abandoned => "abandoned",
            Ending::Unsent => "unsent",
        };
        self.instance.metrics.attempts.with_label_values(&[&*self.service, name]).inc();
        let mut roster = self.instance.roster.borrow_mut();
        roster.ended(&self.server, self.ending, self.report, Instant::now());
        let Some(order) = self.counted_for else { return };
        let seen = Observation {
            // That a host can't be reached says nothing of the version.
            ending: if self.was_sent { self.ending } else { Ending::Unsent },
            took: self.sent_at.elapsed(),
            known_warm: self.known_warm,
            was_cold: self.was_cold,
            warm_ms: roster.warm_answer_ms(&self.service),
        };
        let mut rollouts = self.instance.rollouts.borrow_mut();
        rollouts.ended(order, self.is_target, &self.route.name, &seen);
    }
}

/// Sends the request to the chosen backend server.
pub(super) async fn send(
    exchange: &Exchange,
    choice: &Choice,
    mut work: Work,
    body: &mut Option<RequestBody>,
) -> Attempt {
    let instance = &exchange.instance;
    let limit = connection_limit(instance, &exchange.service);
    let taken = instance.pools.take(&work.server, choice.address, limit).await;
    let Connection { mut sender, is_new } = match taken {
        Ok(connection) => connection,
        Err(error) => {
            work.ended(match error {
                PoolError::Limit(_) => Ending::Unsent,
                PoolError::Dial(_) | PoolError::Handshake(_) => Ending::Failed,
            });
            note(exchange, choice, "not sent", &error.to_string());
            return Attempt::NotSent;
        }
    };
    if is_new {
        instance.metrics.connections.with_label_values(&[&*exchange.service]).inc();
        if instance.is_elsewhere(&choice.availability_zone) {
            instance.roster.borrow_mut().opened_to_leave(&exchange.service);
        }
    }
    let Some(request) = head(exchange, choice, body) else {
        work.ended(Ending::Unsent);
        return Attempt::NotSent;
    };
    work.sent_at = Instant::now();
    work.was_sent = true;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if let Some(request) = error.take_message() {
                // Nothing of it was written: the connection had been closed.
                *body = Some(request.into_body());
                work.ended(if is_new { Ending::Failed } else { Ending::Unsent });
                instance.pools.forget(&work.server);
                note(exchange, choice, "not sent", &error.error().to_string());
                return Attempt::NotSent;
            }
            let by_caller = error.error().is_user();
            work.ended(if by_caller { Ending::Abandoned } else { Ending::Failed });
            note(exchange, choice, "broken", &error.error().to_string());
            if !by_caller {
                closed(exchange, choice, work).await;
            }
            return Attempt::Broken;
        }
    };
    let (parts, incoming) = response.into_parts();
    let request_id = exchange.head.request_id.as_deref();
    let seen = instance.wire.server_head(parts.status, &parts.headers, request_id);
    work.report = seen.load;
    // Whatever comes of the answer: no other way tells in time what the backend server wants.
    if seen.is_for_request && !seen.replaced {
        conditions::told(instance, &work.server, seen.condition, request_id);
    }
    if let Some(attempt) = judge(exchange, choice, parts.status, &seen, &mut work) {
        return attempt;
    }
    let after = work.sent_at.elapsed();
    match ServerBody::read(incoming, &parts.headers).await {
        Ok(body) => {
            let erred = parts.status.is_server_error();
            answered(exchange);
            work.ended(if erred {
                Ending::Erred
            } else {
                Ending::Answered { after, known_warm: choice.known_warm }
            });
            let (status, headers) = (parts.status, parts.headers);
            Attempt::Answered(Box::new(Answer { status, headers, body, work, sender }))
        }
        Err(error) => {
            work.ended(Ending::Failed);
            note(exchange, choice, "cut", &error.to_string());
            closed(exchange, choice, work).await;
            Attempt::Broken
        }
    }
}

/// Takes over that the connection closed under the request, and waits for what is found out about the
/// backend server if the request may be offered elsewhere.
async fn closed(exchange: &Exchange, choice: &Choice, work: Work) {
    let server = work.server.clone();
    // Others should not be sent there meanwhile.
    drop(work);
    let known = closed_under(&exchange.instance, &server, choice.address, exchange.fingerprints());
    if exchange.route.kind.is_idempotent() {
        known.await;
    }
}

/// Takes over that a backend server began the request and lives.
///
/// While no request is suspected, only those with a short body are remembered: a long one costs more
/// to read once more than a caller gains who repeats it as often as several servers have it.
fn answered(exchange: &Exchange) {
    let is_short = exchange.body.as_ref().is_some_and(|body| body.len() <= SHORT_BYTES);
    let instance = &exchange.instance;
    if is_short || !instance.suspects.borrow().is_empty() {
        let request = exchange.fingerprints();
        let changes = instance.suspects.borrow_mut().ran_well(request, instance.clock.now());
        suspicions::changed(instance, &changes, "own");
    }
}

/// Tells whether an answer is none for the caller.
fn judge(
    exchange: &Exchange,
    choice: &Choice,
    status: StatusCode,
    seen: &ServerHead,
    work: &mut Work,
) -> Option<Attempt> {
    if !seen.is_for_request {
        // A surplus answer of an earlier request; the connection goes with the sender.
        work.ended(Ending::Abandoned);
        note(exchange, choice, "broken", "answer to another request");
        return Some(Attempt::Broken);
    }
    if seen.replaced {
        work.ended(Ending::Replaced);
        note(exchange, choice, "not run", "another backend server has the address");
        return Some(Attempt::NotRun);
    }
    if seen.not_run {
        work.ended(Ending::Shed);
        note(exchange, choice, "not run", status.as_str());
        // One that wants rest must not be asked again, whatever room it has.
        let may_be_asked = seen.condition.rest.is_none();
        let had_room = seen.load.is_some_and(LoadReport::has_room);
        return Some(if had_room && may_be_asked { Attempt::Refused } else { Attempt::NotRun });
    }
    if PROMISES.contains(&status) {
        // Passed on, it would promise what the backend server did not say.
        work.ended(Ending::Erred);
        note(exchange, choice, "broken", status.as_str());
        return Some(Attempt::Broken);
    }
    if status.is_success() && !seen.is_signed {
        work.ended(Ending::Failed);
        note(exchange, choice, "broken", "answer without signature");
        return Some(Attempt::Broken);
    }
    None
}

/// Writes the request for the backend server; none if the body can't be sent again.
fn head(
    exchange: &Exchange,
    choice: &Choice,
    body: &mut Option<RequestBody>,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(body.take()?);
    *request.method_mut() = exchange.method.clone();
    let target = exchange.target.path_and_query().cloned();
    *request.uri_mut() = target.map_or_else(Uri::default, Uri::from);
    *request.headers_mut() = exchange.headers.clone();
    let customer = exchange.customer.as_ref().map(|customer| &*customer.name);
    exchange.instance.wire.prepare(request.headers_mut(), exchange.left(), &choice.id, customer);
    Some(request)
}

/// Connections that this instance may open to one backend server of a service.
fn connection_limit(instance: &Instance, service: &str) -> usize {
    let most = instance.service(service).map_or(0, |service| service.max_connections);
    let instances = instance.peers.borrow().alive_count(Instant::now()) + 1;
    (most as usize / instances).max(LEAST_CONNECTIONS)
}

/// Logs an attempt that gave no answer.
fn note(exchange: &Exchange, choice: &Choice, outcome: &str, why: &str) {
    log::info!(
        target: "request",
        id = exchange.head.request_id.as_deref().unwrap_or(""),
        route = &*exchange.route.name, server = &*choice.id, load = choice.load,
        slots = choice.slots, cold = choice.cold, outcome, why,
        caller:% = exchange.caller, fingerprint:% = exchange.fingerprints().content,
        age_ms = millis(exchange.age());
        "attempt"
    );
}

/// Whole milliseconds of a time.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The time that a backend server leaves a connection open; none if it closes it now.
pub(super) fn rest_of(headers: &HeaderMap) -> Result<Option<Duration>, Closing> {
    let closing = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closing {
        return Err(Closing);
    }
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    Ok(seconds.map(Duration::from_secs))
}

/// A backend server closes the connection after its answer.
#[derive(Debug)]
pub(super) struct Closing;
