//! Sending a request to one backend server and judging its answer.

use super::body::{RequestBody, ServerBody};
use super::exchange::Exchange;
use super::way::{self, Through, Way};
use crate::connection::pool::{Connection, PoolError};
use crate::connection::relaying::Relayed;
use crate::platform_api::ServerHead;
use crate::process::crash_detection::probe_after_close;
use crate::process::instance::Instance;
use crate::process::relays::Relay;
use crate::process::{conditions, suspects};
use http::{HeaderMap, Request, StatusCode, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::deployment::Route;
use steering::placement::load::LoadReport;
use steering::placement::{Choice, Ending, Incarnation};
use steering::rollout::{Observation, OrderId};

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
    pub(super) connection: Connection,
}

/// How an attempt ended.
pub(super) enum Attempt {
    /// The backend server answered.
    Answered(Box<Answer>),
    /// Nothing of the request reached it.
    NotSent,
    /// As [`Attempt::NotSent`], as no instance between passed it on: the backend server may be asked again.
    NotPassedOn,
    /// It has not run the request and never will.
    NotRun,
    /// As [`Attempt::NotRun`], although it had room by its own report: it may be asked again.
    Refused,
    /// It may have run the request, and no answer came that can be used.
    Broken,
}

impl Attempt {
    /// Tells whether the request has not run at the backend server, and never will.
    pub(super) fn has_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::NotPassedOn | Self::NotRun | Self::Refused)
    }

    /// Name for operators.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent => "not sent",
            Self::NotPassedOn => "not passed on",
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
    let Way { mut connection, through } = match way::open(exchange, choice).await {
        Ok(way) => way,
        Err(error) => {
            work.ended(match error {
                PoolError::Limit(_) => Ending::Unsent,
                PoolError::Dial(_) | PoolError::Handshake(_) => Ending::Failed,
            });
            note(exchange, choice, None, "not sent", &error.to_string());
            return Attempt::NotSent;
        }
    };
    let Some(mut request) = head(exchange, choice, body) else {
        work.ended(Ending::Unsent);
        return Attempt::NotSent;
    };
    let relay = through.map(|Through { relay, destination: (name, value) }| {
        request.headers_mut().insert(name, value);
        relay
    });
    work.sent_at = Instant::now();
    work.was_sent = true;
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let why = error.error().to_string();
            if let Some(relay) = &relay {
                instance.relays.borrow_mut().record_failure(relay, &why, Instant::now());
            }
            if let Some(request) = error.take_message() {
                // Nothing of it was written: the connection had been closed.
                *body = Some(request.into_body());
                let is_server = connection.is_new && relay.is_none();
                work.ended(if is_server { Ending::Failed } else { Ending::Unsent });
                instance.pools.forget(&connection.to);
                note(exchange, choice, relay.as_ref(), "not sent", &why);
                return if relay.is_some() { Attempt::NotPassedOn } else { Attempt::NotSent };
            }
            let by_caller = error.error().is_user();
            let is_server = !by_caller && relay.is_none();
            work.ended(if is_server { Ending::Failed } else { Ending::Abandoned });
            note(exchange, choice, relay.as_ref(), "broken", &why);
            if relay.is_some() {
                instance.pools.forget(&connection.to);
            }
            if !by_caller {
                closed(exchange, choice, work).await;
            }
            return Attempt::Broken;
        }
    };
    let (mut parts, incoming) = response.into_parts();
    if let Some(relay) = &relay {
        let outcome = Relayed::take(&mut parts.headers);
        if outcome != Relayed::PassedOn {
            return not_passed_on(exchange, choice, relay, outcome, work).await;
        }
        instance.relays.borrow_mut().record_response(relay, Instant::now());
    }
    let request_id = exchange.head.request_id.as_deref();
    let seen = instance.wire.decode_server_head(parts.status, &parts.headers, request_id);
    work.report = seen.load;
    // Whatever comes of the answer: no other way tells in time what the backend server wants.
    if seen.is_for_request && !seen.replaced {
        conditions::record_condition(instance, &work.server, seen.condition, request_id);
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
            Attempt::Answered(Box::new(Answer { status, headers, body, work, connection }))
        }
        Err(error) => {
            work.ended(Ending::Failed);
            note(exchange, choice, relay.as_ref(), "cut", &error.to_string());
            closed(exchange, choice, work).await;
            Attempt::Broken
        }
    }
}

/// Takes over that an instance did not pass the request on, or got no answer.
async fn not_passed_on(
    exchange: &Exchange,
    choice: &Choice,
    relay: &Relay,
    outcome: Relayed,
    mut work: Work,
) -> Attempt {
    note(exchange, choice, Some(relay), outcome.as_str(), "told by the instance between");
    match outcome {
        Relayed::NotSent => {
            let mut relays = exchange.instance.relays.borrow_mut();
            relays.record_failure(relay, outcome.as_str(), Instant::now());
            work.ended(Ending::Unsent);
            Attempt::NotPassedOn
        }
        Relayed::Unreachable => {
            work.ended(Ending::Failed);
            Attempt::NotSent
        }
        Relayed::Broken | Relayed::PassedOn => {
            work.ended(Ending::Failed);
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
    let known =
        probe_after_close(&exchange.instance, &server, choice.address, exchange.fingerprints());
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
        suspects::publish_changes(instance, &changes, "own");
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
        note(exchange, choice, None, "broken", "answer to another request");
        return Some(Attempt::Broken);
    }
    if seen.replaced {
        work.ended(Ending::Replaced);
        note(exchange, choice, None, "not run", "another backend server has the address");
        return Some(Attempt::NotRun);
    }
    if seen.not_run {
        work.ended(Ending::Shed);
        note(exchange, choice, None, "not run", status.as_str());
        // One that wants rest must not be asked again, whatever room it has.
        let may_be_asked = seen.condition.rest.is_none();
        let had_room = seen.load.is_some_and(LoadReport::has_room);
        return Some(if had_room && may_be_asked { Attempt::Refused } else { Attempt::NotRun });
    }
    if PROMISES.contains(&status) {
        // Passed on, it would promise what the backend server did not say.
        work.ended(Ending::Erred);
        note(exchange, choice, None, "broken", status.as_str());
        return Some(Attempt::Broken);
    }
    if status.is_success() && !seen.is_signed {
        work.ended(Ending::Failed);
        note(exchange, choice, None, "broken", "answer without signature");
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
    exchange.instance.wire.add_server_headers(
        request.headers_mut(),
        exchange.left(),
        &choice.id,
        customer,
    );
    Some(request)
}

/// Logs an attempt that gave no answer.
fn note(exchange: &Exchange, choice: &Choice, relay: Option<&Relay>, outcome: &str, why: &str) {
    log::info!(
        target: "request",
        id = exchange.head.request_id.as_deref().unwrap_or(""),
        route = &*exchange.route.name, server = &*choice.id, load = choice.load,
        slots = choice.slots, cold = choice.cold, outcome, why,
        through = relay.map_or("", |relay| &*relay.id.id),
        caller:% = exchange.caller, fingerprint:% = exchange.fingerprints().content,
        age_ms = millis(exchange.age());
        "attempt"
    );
}

/// Whole milliseconds of a time.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
