//! Sends a request to backend servers until one answers.

use super::body::ResponseBody;
use super::caller_body::CallerBody;
use super::choose::choose;
use super::deadline::with_deadline;
use super::exchange::{ANSWERED, Exchange, InFlightGuard};
use super::forward_response;
use super::hedge;
use super::outcome::{Outcome, ServerResponse};
use super::problem::Problem;
use super::progress::Progress;
use super::unfinished::Unfinished;
use crate::process::millis::millis;
use crate::process::room;
use http::{Response, StatusCode};
use std::time::Instant;
use steering::placement::Choice;

/// Attempts after which a request is refused if the last one did not run it.
///
/// The attempts that may have run the request are limited by the route instead.
const MAX_ATTEMPTS: u32 = 3;

/// Uploads that are ended at most for one choice; a queue that was long needs several to be short enough.
const MAX_ENDED_UPLOADS: usize = 64;

/// Runs a request; records and logs its outcome.
pub(super) async fn run(
    exchange: Exchange,
    body: CallerBody,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    let instance = exchange.instance.clone();
    let mut unfinished = Unfinished::new(&exchange);
    // Boxed: moved into `with_deadline`, the future would occupy its size twice.
    let attempts = Box::pin(send_within_quota(&exchange, body, &mut unfinished.progress));
    let outcome = with_deadline(&instance, exchange.deadline, attempts).await;
    let progress = unfinished.finish();
    let outcome = match outcome {
        Some(outcome) => outcome,
        None if progress.may_have_run() => Err(Problem::TimeoutAfterSend),
        None => Err(Problem::TimeoutBeforeSend),
    };
    // A request that may have run must not get a status that says it has not run.
    let outcome =
        outcome.map_err(|problem| match problem.guarantees_not_run() && progress.may_have_run() {
            true => Problem::Broken,
            false => problem,
        });
    progress.refund_if_not_run(&exchange);
    progress.end_retries(&exchange);
    let outcome_name = outcome.as_ref().map_or_else(Problem::as_str, |_| ANSWERED);
    let attempt_count = progress.attempt_count();
    let unfinished_at = outcome.is_err().then(|| progress.unfinished_attempts());
    progress.record_decision(&exchange, outcome_name);
    match outcome {
        Ok(response) => forward_response::forward_response(exchange, response, in_flight),
        Err(problem) => {
            let route = &*exchange.route.name;
            let outcome = problem.as_str();
            exchange.record_outcome(outcome);
            let is_logged_at_info = !matches!(problem, Problem::OverQuota { .. });
            // Quota refusals are logged once when they begin and once when they end.
            let level = if is_logged_at_info { log::Level::Info } else { log::Level::Debug };
            log::log!(
                target: "request", level,
                id = exchange.head.request_id.as_deref().unwrap_or(""),
                route, service = &*exchange.service, outcome, offers = attempt_count,
                unfinished_at = unfinished_at.as_deref().unwrap_or(""),
                version = exchange.version, customer = exchange.customer_name(),
                servers_revision = instance.replica.borrow().servers.as_of,
                age_ms = millis(exchange.age());
                "request failed"
            );
            problem.response()
        }
    }
}

/// Counts a request against its customer's quota, then sends it.
///
/// # Errors
///
/// Fails if the quota is not known yet or exceeded, or if no backend server answers.
async fn send_within_quota(
    exchange: &Exchange,
    body: CallerBody,
    progress: &mut Progress,
) -> Result<Box<ServerResponse>, Problem> {
    let Exchange { instance, service, route, key_hash, .. } = exchange;
    if let Some(customer) = &exchange.customer {
        if !instance.quotas.can_decide() {
            return Err(Problem::Joining);
        }
        let granted = instance.quotas.acquire(customer, instance.clock.now()).await;
        granted.map_err(|retry_after| Problem::OverQuota { retry_after })?;
        progress.mark_counted();
    }
    instance.retry_budgets.credit(service);
    let allowed_regions = exchange.allowed_regions();
    instance.roster.borrow_mut().record_request(
        service,
        route.kind,
        *key_hash,
        &allowed_regions,
        Instant::now(),
    );
    send_until_answered(exchange, body, progress).await
}

/// Sends a request to one backend server after another until one answers.
///
/// # Errors
///
/// Fails if no backend server is left to try or no retry is allowed.
async fn send_until_answered(
    exchange: &Exchange,
    mut body: CallerBody,
    progress: &mut Progress,
) -> Result<Box<ServerResponse>, Problem> {
    let mut ready_body = body.take();
    let mut next = None;
    loop {
        let choice = match next.take() {
            Some(choice) => choice,
            None => {
                // During a suspension a backend server may have started to drain, or an
                // availability zone may have been evacuated.
                exchange.instance.wait_for_resync().await;
                choose_with_room(exchange, progress).await?
            }
        };
        let (outcome, unsent_body) =
            hedge::send_hedged(exchange, choice, ready_body, &mut body, progress).await;
        ready_body = unsent_body;
        match outcome {
            Outcome::Answered(response) if !may_retry_failure(exchange, &response, progress) => {
                return Ok(response);
            }
            // Without another backend server to try, the caller gets this failure.
            Outcome::Answered(failure) => match choose(exchange, progress) {
                Ok(choice) => {
                    drop(failure);
                    ready_body = body.take();
                    next = Some(choice);
                }
                Err(_) => return Ok(failure),
            },
            // An attempt that reached no backend server takes nothing from the retry budget.
            outcome if outcome.has_not_run() && progress.attempt_count() >= MAX_ATTEMPTS => {
                return Err(all_refused(exchange));
            }
            outcome @ (Outcome::NotSent
            | Outcome::NotForwarded
            | Outcome::NotRun
            | Outcome::Refused) => {
                if ready_body.is_none() {
                    ready_body = body.take();
                }
                let reached_server = !matches!(outcome, Outcome::NotSent | Outcome::NotForwarded);
                let may_retry = !reached_server || progress.take_retry(exchange, false);
                if ready_body.is_none() || !may_retry {
                    return Err(all_refused(exchange));
                }
            }
            Outcome::Broken { .. } => {
                let may_retry = exchange.route.kind.is_idempotent()
                    && progress.attempt_count() < exchange.route.max_attempts
                    && body.can_be_sent()
                    && progress.take_retry(exchange, false);
                if !may_retry {
                    return Err(Problem::Broken);
                }
                ready_body = body.take();
            }
        }
    }
}

/// Chooses a backend server; if none has room, uploads that wait for their callers are ended until one has.
///
/// # Errors
///
/// As [`choose`].
async fn choose_with_room(exchange: &Exchange, progress: &Progress) -> Result<Choice, Problem> {
    let mut chosen = choose(exchange, progress);
    for _ in 0..MAX_ENDED_UPLOADS {
        let is_full = matches!(chosen, Err(Problem::NoCapacity { .. }));
        if !is_full || !room::free_slot(&exchange.instance, &exchange.service).await {
            break;
        }
        chosen = choose(exchange, progress);
    }
    chosen
}

/// Whether to retry at another backend server after an error response; takes from the retry budget.
fn may_retry_failure(
    exchange: &Exchange,
    response: &ServerResponse,
    progress: &mut Progress,
) -> bool {
    response.status.is_server_error()
        && response.status != StatusCode::GATEWAY_TIMEOUT
        && exchange.route.kind.is_idempotent()
        && progress.attempt_count() < exchange.route.max_attempts
        && progress.take_retry(exchange, false)
}

fn all_refused(exchange: &Exchange) -> Problem {
    let jitter = 0.5 + rand::random::<f64>() / 2.0;
    Problem::AllRefused { retry_after: exchange.route.latency_objective.mul_f64(jitter) }
}
