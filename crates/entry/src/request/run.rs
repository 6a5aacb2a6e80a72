//! Offering a request to backend servers until one answers.

use super::attempt::{self, Attempt, millis};
use super::body::AnswerBody;
use super::caller_body::CallerBody;
use super::choose::choose;
use super::deadline::within;
use super::exchange::{ANSWERED, Exchange, InFlight};
use super::forward_response;
use super::hedge;
use super::problem::Problem;
use super::progress::Progress;
use http::{Response, StatusCode};
use std::time::Instant;

/// Backend servers that a request is offered to before it is refused; all but the attempts that
/// its route allows did not run it.
const MAX_OFFERS: u32 = 3;

/// Runs a request and logs what was made of it.
pub(super) async fn run(
    exchange: Exchange,
    body: CallerBody,
    in_flight: InFlight,
) -> Response<AnswerBody> {
    let instance = exchange.instance.clone();
    let mut progress = Progress::default();
    // Moved into what watches the time, it would take its room twice.
    let offered = Box::pin(offer_within_quota(&exchange, body, &mut progress));
    let outcome = match within(&instance, exchange.deadline, offered).await {
        Some(outcome) => outcome,
        None if progress.may_have_run() => Err(Problem::TimeoutAfterSend),
        None => Err(Problem::TimeoutBeforeSend),
    };
    // What may have run is not refused, whatever kept the next offer from being made.
    let outcome =
        outcome.map_err(|problem| match problem.is_promise() && progress.may_have_run() {
            true => Problem::Broken,
            false => problem,
        });
    progress.settle(&exchange);
    let name = outcome.as_ref().map_or_else(Problem::as_str, |_| ANSWERED);
    let offers = progress.offers();
    progress.remember(&exchange, name);
    match outcome {
        Ok(answer) => forward_response::pass_on(exchange, answer, in_flight),
        Err(problem) => {
            let route = &*exchange.route.name;
            let outcome = problem.as_str();
            exchange.count(outcome);
            let is_told = !matches!(problem, Problem::OverQuota { .. });
            // Of these a line tells when they begin and when they cease.
            let level = if is_told { log::Level::Info } else { log::Level::Debug };
            log::log!(
                target: "request", level,
                id = exchange.head.request_id.as_deref().unwrap_or(""),
                route, service = &*exchange.service, outcome, offers,
                version = exchange.version, customer = exchange.customer_name(),
                servers_revision = instance.knowledge.borrow().servers.as_of,
                age_ms = millis(exchange.age());
                "gave up"
            );
            problem.response()
        }
    }
}

/// Counts a request against its customer's quota, then offers it.
async fn offer_within_quota(
    exchange: &Exchange,
    body: CallerBody,
    progress: &mut Progress,
) -> Result<Box<attempt::Answer>, Problem> {
    let Exchange { instance, service, route, key_hash, .. } = exchange;
    if let Some(customer) = &exchange.customer {
        if !instance.quotas.may_grant() {
            return Err(Problem::Joining);
        }
        let taken = instance.quotas.take(customer, instance.clock.now()).await;
        taken.map_err(|retry_after| Problem::OverQuota { retry_after })?;
        progress.counted();
    }
    instance.earn_retry(service);
    let allowed = exchange.allowed_regions();
    instance.roster.borrow_mut().asked(service, route.kind, *key_hash, &allowed, Instant::now());
    offer(exchange, body, progress).await
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
            None => {
                // A backend server may have begun to leave, or a zone been evacuated, in a suspension.
                exchange.instance.until_settled().await;
                choose(exchange, progress)?
            }
        };
        let (attempt, left) = hedge::offer(exchange, choice, ready, &mut body, progress).await;
        ready = left;
        match attempt {
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
            end if end.has_not_run() && progress.offers() >= MAX_OFFERS => {
                return Err(not_taken(exchange));
            }
            end
            @ (Attempt::NotSent | Attempt::NotPassedOn | Attempt::NotRun | Attempt::Refused) => {
                if ready.is_none() {
                    ready = body.take();
                }
                let arrived = !matches!(end, Attempt::NotSent | Attempt::NotPassedOn);
                let may = !arrived || exchange.instance.take_retry(&exchange.service);
                if ready.is_none() || !may {
                    return Err(not_taken(exchange));
                }
            }
            Attempt::Broken => {
                let again = exchange.route.kind.is_idempotent()
                    && progress.offers() < exchange.route.max_attempts
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
        && progress.offers() < exchange.route.max_attempts
        && exchange.instance.take_retry(&exchange.service)
}

fn not_taken(exchange: &Exchange) -> Problem {
    let jitter = 0.5 + rand::random::<f64>() / 2.0;
    Problem::NotTaken { retry_after: exchange.route.latency_objective.mul_f64(jitter) }
}
