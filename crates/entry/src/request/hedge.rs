//! Sends a request to one backend server, and a hedged request to another when the response is
//! overdue.

use super::attempt;
use super::attempt_guard::AttemptGuard;
use super::body::RequestBody;
use super::caller_body::CallerBody;
use super::choose::choose_for_hedge;
use super::exchange::Exchange;
use super::outcome::Outcome;
use super::progress::Progress;
use super::sent_flag::SentFlag;
use crate::process::millis::millis;
use crate::process::reach;
use crate::process::relays::Relay;
use std::future::Future;
use std::time::Instant;
use steering::placement::{Choice, Incarnation};
use steering::reach::Failure;

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
    let can_be_sent_again = body.can_be_sent();
    let overdue_after = {
        let roster = exchange.instance.roster.borrow();
        roster.overdue_after(&exchange.service, &zone, choice.cold)
    };
    let number = progress.next_attempt();
    let (first, sent_flag) = begin_attempt(exchange, choice, ready_body, progress);
    let first = give_up_when_cut_off(exchange, number, can_be_sent_again, &sent_flag, first);
    tokio::pin!(first);
    let in_time = match overdue_after {
        Some(overdue_after) => tokio::time::timeout(overdue_after, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let result = match in_time {
        Some(result) => result,
        None => {
            let through = sent_flag.through();
            handle_overdue(exchange, (&server, &zone), through.as_ref(), sent_at);
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
    exchange: &Exchange,
    (server, zone): (&Incarnation, &str),
    through: Option<&Relay>,
    sent_at: Instant,
) {
    let Exchange { instance, service, .. } = exchange;
    if let Some(relay) = through {
        let is_silent = instance.relays.borrow().is_silent_since(relay, sent_at);
        if is_silent {
            instance.pools.close_idle(&relay.id);
        }
        if is_silent && instance.reach.borrow().is_cut_off(service) {
            // It may be cut off too, without knowing it yet.
            instance.relays.borrow_mut().record_busy(relay, "overdue", Instant::now());
        }
    }
    let has_answered = {
        let mut roster = instance.roster.borrow_mut();
        roster.record_overdue(service, zone);
        roster.answered_after(server, sent_at)
    };
    if has_answered {
        return;
    }
    instance.pools.close_idle(server);
    if through.is_none() {
        reach::record_failure(instance, service, server, Failure::Overdue, sent_at);
    }
}

/// Starts a hedged request, if a backend server has capacity and the retry budget allows it.
fn begin_hedge<'a>(
    exchange: &'a Exchange,
    body: &mut CallerBody,
    progress: &mut Progress,
) -> Option<impl Future<Output = AttemptResult> + use<'a>> {
    let instance = &exchange.instance;
    if !body.can_be_sent() || !instance.retry_budgets.may_retry(&exchange.service) {
        return None;
    }
    let choice = choose_for_hedge(exchange, progress).ok()?;
    if !progress.take_retry(exchange, true) {
        return None;
    }
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
) -> (impl Future<Output = AttemptResult> + use<'a>, SentFlag) {
    let (number, sent_flag) = progress.begin_attempt(&choice, exchange);
    let guard = AttemptGuard::new(exchange, &choice, sent_flag.clone());
    (send(exchange, number, choice, guard, body), sent_flag)
}

/// Ends an attempt over a connection of this instance once it is known to reach no backend server, if
/// the request may be sent again: it was not sent, or is idempotent.
async fn give_up_when_cut_off(
    exchange: &Exchange,
    number: usize,
    can_be_sent_again: bool,
    sent_flag: &SentFlag,
    attempt: impl Future<Output = AttemptResult>,
) -> AttemptResult {
    let Exchange { instance, service, route, .. } = exchange;
    let is_idempotent = route.kind.is_idempotent();
    let cut_off = async {
        loop {
            reach::wait_until_cut_off(instance, service).await;
            let may_be_sent_again = can_be_sent_again && (is_idempotent || !sent_flag.is_set());
            if may_be_sent_again && sent_flag.through().is_none() {
                return;
            }
        }
    };
    tokio::select! {
        result = attempt => result,
        () = cut_off => {
            let was_sent = sent_flag.is_set();
            log::info!(
                target: "request",
                id = exchange.head.request_id.as_deref().unwrap_or(""), service = &**service,
                was_sent, age_ms = millis(exchange.age());
                "attempt given up, as no backend server is reached"
            );
            let outcome =
                if was_sent { Outcome::Broken { is_past: false } } else { Outcome::NotForwarded };
            (number, outcome, None)
        }
    }
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
