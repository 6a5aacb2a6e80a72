//! Sends a request to one backend server, and a hedged request to another when the response is
//! overdue.

use super::attempt::{self, Outcome};
use super::attempt_guard::AttemptGuard;
use super::body::RequestBody;
use super::caller_body::CallerBody;
use super::choose::choose_for_hedge;
use super::exchange::Exchange;
use super::progress::Progress;
use crate::process::instance::Instance;
use std::future::Future;
use std::time::Instant;
use steering::placement::{Choice, Incarnation};

/// Number of an attempt, its outcome, and the body if nothing of it was sent.
type AttemptResult = (usize, Outcome, Option<RequestBody>);

/// Sends a request to the chosen backend server. If the response is overdue and the request may run
/// again, also sends it to another one with capacity; the first response without a failure is used.
///
/// The other attempt is then dropped, which cancels it.
pub(super) async fn send_hedged(
    exchange: &Exchange,
    choice: Choice,
    ready_body: Option<RequestBody>,
    body: &mut CallerBody,
    progress: &mut Progress,
) -> (Outcome, Option<RequestBody>) {
    // This attempt is not counted yet.
    let is_hedge_allowed = exchange.route.kind.is_idempotent()
        && progress.attempt_count() + 1 < exchange.route.max_attempts;
    let (server, zone) = (choice.incarnation(), choice.availability_zone.clone());
    let sent_at = Instant::now();
    let overdue_after = {
        let roster = exchange.instance.roster.borrow();
        roster.overdue_after(&exchange.service, &zone, choice.cold)
    };
    let first = begin_attempt(exchange, choice, ready_body, progress);
    tokio::pin!(first);
    let in_time = match overdue_after {
        Some(overdue_after) => tokio::time::timeout(overdue_after, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let result = match in_time {
        Some(result) => result,
        None => {
            handle_overdue(&exchange.instance, &exchange.service, (&server, &zone), sent_at);
            let second =
                if is_hedge_allowed { begin_hedge(exchange, body, progress) } else { None };
            let action = if second.is_some() { "sent elsewhere" } else { "waited" };
            let labels = [&*exchange.service, action];
            exchange.instance.metrics.overdue.with_label_values(&labels).inc();
            match second {
                Some(second) => first_success(exchange, first, second, progress).await,
                None => first.await,
            }
        }
    };
    let (number, outcome, unsent_body) = result;
    progress.end_attempt(number, &outcome, exchange);
    (outcome, unsent_body)
}

/// Records an overdue response.
///
/// If the backend server, or the relay to it, has sent no response since the request was sent, its
/// open connections may be dead while new ones would work: the idle ones are closed.
fn handle_overdue(
    instance: &Instance,
    service: &str,
    (server, zone): (&Incarnation, &str),
    sent_at: Instant,
) {
    if let Some(relay) = instance.relays.borrow().silent_since(zone, sent_at) {
        instance.pools.close_idle(&relay.id);
    }
    let mut roster = instance.roster.borrow_mut();
    roster.record_overdue(service, zone);
    if !roster.answered_after(server, sent_at) {
        instance.pools.close_idle(server);
    }
}

/// Starts a hedged request, if a backend server has capacity and the retry budget allows it.
fn begin_hedge<'a>(
    exchange: &'a Exchange,
    body: &mut CallerBody,
    progress: &mut Progress,
) -> Option<impl Future<Output = AttemptResult> + use<'a>> {
    let instance = &exchange.instance;
    if !body.can_be_sent() || !instance.may_retry(&exchange.service) {
        return None;
    }
    let choice = choose_for_hedge(exchange, progress).ok()?;
    instance.take_retry(&exchange.service);
    let (number, sent_flag) = progress.begin_attempt(&choice, exchange);
    let guard = AttemptGuard::new(exchange, &choice, sent_flag);
    Some(send(exchange, number, choice, guard, body.take()))
}

/// Waits for the first of two attempts that gets a response without a failure, or else for the last.
async fn first_success(
    exchange: &Exchange,
    mut first: std::pin::Pin<&mut impl Future<Output = AttemptResult>>,
    second: impl Future<Output = AttemptResult>,
    progress: &mut Progress,
) -> AttemptResult {
    tokio::pin!(second);
    let (result, first_is_pending) = tokio::select! {
        result = first.as_mut() => (result, false),
        result = second.as_mut() => (result, true),
    };
    let (number, outcome, _) = &result;
    if matches!(outcome, Outcome::Answered(response) if !response.status.is_server_error()) {
        return result;
    }
    progress.end_attempt(*number, outcome, exchange);
    if first_is_pending { first.await } else { second.await }
}

fn begin_attempt<'a>(
    exchange: &'a Exchange,
    choice: Choice,
    body: Option<RequestBody>,
    progress: &mut Progress,
) -> impl Future<Output = AttemptResult> + use<'a> {
    let (number, sent_flag) = progress.begin_attempt(&choice, exchange);
    let guard = AttemptGuard::new(exchange, &choice, sent_flag);
    send(exchange, number, choice, guard, body)
}

async fn send(
    exchange: &Exchange,
    number: usize,
    choice: Choice,
    guard: AttemptGuard,
    mut body: Option<RequestBody>,
) -> AttemptResult {
    let outcome = attempt::send(exchange, &choice, guard, &mut body).await;
    (number, outcome, body)
}
