//! Offering a request to backend servers until one answers.

use super::attempt::{self, Attempt, Work, millis};
use super::body::{AnswerBody, RequestBody};
use super::caller_body::CallerBody;
use super::exchange::{Exchange, InFlight};
use super::pass_on;
use super::problem::Problem;
use crate::process::recent::{Decision, Offer};
use http::{Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::{Ask, Choice};

/// Part of the latency objective that a request of rank 0 waits for a slot in any case; each
/// further rank waits for a third less.
const LEAST_PATIENCE: f64 = 0.4;

/// Part of the latency objective that must be left for sending a request to be worth it.
const LEAST_TIME: f64 = 0.1;

/// Backend servers that a request is offered to before it is refused; all but the attempts that
/// its route allows did not run it.
const MAX_OFFERS: u32 = 3;

/// Outcome of an offer whose time was over before it ended.
const GIVEN_UP: &str = "given up";

/// Runs a request and logs what was made of it.
pub(super) async fn run(
    exchange: Exchange,
    body: CallerBody,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let instance = exchange.instance.clone();
    instance.earn_retry(&exchange.service);
    {
        let Exchange { service, route, key_hash, started, .. } = &exchange;
        instance.roster.borrow_mut().asked(service, route.kind, *key_hash, *started);
    }
    let deadline = tokio::time::Instant::from_std(exchange.deadline);
    let mut progress = Progress::default();
    let outcome =
        match tokio::time::timeout_at(deadline, offer(&exchange, body, &mut progress)).await {
            Ok(outcome) => outcome,
            Err(_) if progress.may_have_run => Err(Problem::TimeoutAfterSend),
            Err(_) => Err(Problem::TimeoutBeforeSend),
        };
    // What may have run is not refused, whatever kept the next offer from being made.
    let outcome = outcome.map_err(|problem| match problem.is_promise() && progress.may_have_run {
        true => Problem::Broken,
        false => problem,
    });
    let name = outcome.as_ref().map_or_else(Problem::as_str, |_| "answered");
    remember(&exchange, progress.told, name);
    match outcome {
        Ok(answer) => pass_on::pass_on(exchange, answer, in_flight),
        Err(problem) => {
            let route = &*exchange.route.name;
            let outcome = problem.as_str();
            instance.metrics.requests.with_label_values(&[route, outcome]).inc();
            log::info!(
                target: "request",
                id = exchange.head.request_id.as_deref().unwrap_or(""),
                route, service = &*exchange.service, outcome, offers = progress.offers,
                version = instance.knowledge.borrow().configuration.content.version,
                servers_revision = instance.knowledge.borrow().servers.as_of,
                age_ms = millis(exchange.started.elapsed());
                "gave up"
            );
            problem.response()
        }
    }
}

/// Remembers what was made of a request, for operators who ask by its identity.
fn remember(exchange: &Exchange, mut offers: Vec<Offer>, outcome: &'static str) {
    let Some(request_id) = &exchange.head.request_id else { return };
    let took_ms = millis(exchange.started.elapsed());
    if let Some(last) = offers.last_mut().filter(|last| last.outcome == GIVEN_UP) {
        last.ended_ms = took_ms;
    }
    let knowledge = exchange.instance.knowledge.borrow();
    exchange.instance.recent.borrow_mut().add(Decision {
        request_id: request_id.as_str().into(),
        route: exchange.route.name.clone(),
        service: exchange.service.clone(),
        outcome,
        offers,
        configuration_version: knowledge.configuration.content.version,
        servers_as_of: knowledge.servers.as_of,
        took_ms,
    });
}

/// How far a request has come.
#[derive(Default)]
struct Progress {
    /// Backend servers that it was offered to.
    offers: u32,
    /// Whether a backend server may have run it.
    may_have_run: bool,
    excluded: Vec<Arc<str>>,
    /// What is told of the offers.
    told: Vec<Offer>,
}

async fn offer(
    exchange: &Exchange,
    mut body: CallerBody,
    progress: &mut Progress,
) -> Result<Box<attempt::Answer>, Problem> {
    let mut ready = body.take();
    let mut next = None;
    loop {
        let choice = match next.take() {
            Some(choice) => choice,
            None => choose(exchange, progress)?,
        };
        let work = Work::new(exchange, &choice);
        progress.offers += 1;
        progress.excluded.push(choice.id.clone());
        let first = send_counted(exchange, &choice, work, &mut ready, progress);
        match first.await {
            Attempt::Answered(answer) if !may_repeat(exchange, &answer, progress) => {
                return Ok(answer);
            }
            // Another backend server may do better; if none can be asked, the failure is the answer.
            Attempt::Answered(failure) => match choose(exchange, progress) {
                Ok(choice) => {
                    drop(failure);
                    ready = body.take();
                    next = Some(choice);
                }
                Err(_) => return Ok(failure),
            },
            // What did not arrive anywhere is no repeat.
            Attempt::NotSent | Attempt::NotRun if progress.offers >= MAX_OFFERS => {
                return Err(not_taken(exchange));
            }
            end @ (Attempt::NotSent | Attempt::NotRun) => {
                if ready.is_none() {
                    ready = body.take();
                }
                let arrived = matches!(end, Attempt::NotRun);
                let may = !arrived || exchange.instance.take_retry(&exchange.service);
                if ready.is_none() || !may {
                    return Err(not_taken(exchange));
                }
            }
            Attempt::Broken => {
                let again = exchange.route.kind.is_idempotent()
                    && progress.offers < exchange.route.max_attempts
                    && body.can_be_sent()
                    && exchange.instance.take_retry(&exchange.service);
                if !again {
                    return Err(Problem::Broken);
                }
                ready = body.take();
            }
        }
    }
}

/// Tells whether a failure that a backend server answered may be repeated elsewhere.
fn may_repeat(exchange: &Exchange, answer: &attempt::Answer, progress: &Progress) -> bool {
    answer.status.is_server_error()
        && answer.status != StatusCode::GATEWAY_TIMEOUT
        && exchange.route.kind.is_idempotent()
        && progress.offers < exchange.route.max_attempts
        && exchange.instance.take_retry(&exchange.service)
}

/// Sends the request once; while it is on the way, it may run.
async fn send_counted(
    exchange: &Exchange,
    choice: &Choice,
    work: Work,
    body: &mut Option<RequestBody>,
    progress: &mut Progress,
) -> Attempt {
    let before = std::mem::replace(&mut progress.may_have_run, true);
    progress.told.push(Offer {
        server: choice.id.clone(),
        availability_zone: choice.availability_zone.clone(),
        load: choice.load,
        slots: choice.slots,
        cold: choice.cold,
        ended_ms: 0,
        outcome: GIVEN_UP,
    });
    let attempt = attempt::send(exchange, choice, work, body).await;
    if let Some(offer) = progress.told.last_mut() {
        offer.ended_ms = millis(exchange.started.elapsed());
        offer.outcome = attempt.as_str();
    }
    if matches!(attempt, Attempt::NotSent | Attempt::NotRun) {
        progress.may_have_run = before;
    }
    attempt
}

fn not_taken(exchange: &Exchange) -> Problem {
    let jitter = 0.5 + rand::random::<f64>() / 2.0;
    Problem::NotTaken { retry_after: exchange.route.latency_objective.mul_f64(jitter) }
}

/// Chooses the next backend server.
fn choose(exchange: &Exchange, progress: &Progress) -> Result<Choice, Problem> {
    let now = Instant::now();
    let objective = exchange.route.latency_objective;
    let left = exchange.deadline.saturating_duration_since(now);
    if left < objective.mul_f64(LEAST_TIME) {
        return Err(Problem::TimeoutBeforeSend);
    }
    let rank = f64::from(exchange.route.priority.min(8));
    let least = objective.mul_f64(LEAST_PATIENCE * (2.0f64 / 3.0).powf(rank));
    let ask = Ask {
        service: &exchange.service,
        key_hash: exchange.key_hash,
        kind: exchange.route.kind,
        allowed_regions: &exchange.route.allowed_regions,
        excluded: &progress.excluded,
        objective_left: objective.saturating_sub(exchange.started.elapsed()),
        least_patience: least.min(left),
    };
    exchange.instance.roster.borrow_mut().choose(&ask, now).map_err(|refusal| {
        // Callers that were refused together come back apart.
        let jitter = Duration::from_secs_f64(rand::random::<f64>() * 0.15);
        Problem::NoRoom { retry_after: refusal.retry_after + jitter }
    })
}
