//! One offer, and a second one beside it when its answer is overdue.

use super::attempt::{self, Attempt, Work};
use super::body::RequestBody;
use super::caller_body::CallerBody;
use super::choose::choose_second;
use super::exchange::Exchange;
use super::progress::Progress;
use crate::process::instance::Instance;
use std::future::Future;
use std::time::Instant;
use steering::placement::{Choice, Incarnation};

/// How an offer ended, with the body if nothing of it was sent.
type Ended = (usize, Attempt, Option<RequestBody>);

/// Offers a request to the chosen backend server, and to another one that has room if the
/// answer is overdue and the request may be repeated; the first answer that is no failure counts.
///
/// The other offer is then given up, which cancels its work.
pub(super) async fn offer(
    exchange: &Exchange,
    choice: Choice,
    ready: Option<RequestBody>,
    body: &mut CallerBody,
    progress: &mut Progress,
) -> (Attempt, Option<RequestBody>) {
    // The offer itself is not counted yet.
    let may_repeat =
        exchange.route.kind.is_idempotent() && progress.offers() + 1 < exchange.route.max_attempts;
    let (server, zone) = (choice.incarnation(), choice.availability_zone.clone());
    let sent_at = Instant::now();
    let after = {
        let roster = exchange.instance.roster.borrow();
        roster.overdue_after(&exchange.service, &zone, choice.cold)
    };
    let first = begin(exchange, choice, ready, progress);
    tokio::pin!(first);
    let in_time = match after {
        Some(after) => tokio::time::timeout(after, first.as_mut()).await.ok(),
        None => Some(first.as_mut().await),
    };
    let ended = match in_time {
        Some(ended) => ended,
        None => {
            is_overdue(&exchange.instance, &exchange.service, (&server, &zone), sent_at);
            let second = if may_repeat { begin_second(exchange, body, progress) } else { None };
            let action = if second.is_some() { "sent elsewhere" } else { "waited" };
            let labels = [&*exchange.service, action];
            exchange.instance.metrics.overdue.with_label_values(&labels).inc();
            match second {
                Some(second) => better_of(exchange, first, second, progress).await,
                None => first.await,
            }
        }
    };
    let (offer, attempt, left) = ended;
    progress.end(offer, &attempt, exchange);
    (attempt, left)
}

/// Takes over that an answer is overdue.
///
/// If the backend server has answered nothing since the request was sent, connections to it may
/// have fallen silent while new ones work: those that rest are not used again.
fn is_overdue(
    instance: &Instance,
    service: &str,
    (server, zone): (&Incarnation, &str),
    sent_at: Instant,
) {
    if let Some(relay) = instance.relays.borrow().silent_since(zone, sent_at) {
        instance.pools.forget(&relay.id);
    }
    let mut roster = instance.roster.borrow_mut();
    roster.was_overdue(service, zone);
    if !roster.was_heard_after(server, sent_at) {
        instance.pools.forget(server);
    }
}

/// Begins a second offer, if a backend server has room and the budget allows it.
fn begin_second<'a>(
    exchange: &'a Exchange,
    body: &mut CallerBody,
    progress: &mut Progress,
) -> Option<impl Future<Output = Ended> + use<'a>> {
    let instance = &exchange.instance;
    if !body.can_be_sent() || !instance.may_retry(&exchange.service) {
        return None;
    }
    let choice = choose_second(exchange, progress).ok()?;
    instance.take_retry(&exchange.service);
    let work = Work::new(exchange, &choice);
    let number = progress.begin(&choice, exchange);
    Some(send(exchange, number, choice, work, body.take()))
}

/// Waits for the first of two offers that is answered without a failure, else for the last.
async fn better_of(
    exchange: &Exchange,
    mut first: std::pin::Pin<&mut impl Future<Output = Ended>>,
    second: impl Future<Output = Ended>,
    progress: &mut Progress,
) -> Ended {
    tokio::pin!(second);
    let (ended, first_is_left) = tokio::select! {
        ended = first.as_mut() => (ended, false),
        ended = second.as_mut() => (ended, true),
    };
    let (offer, attempt, _) = &ended;
    if matches!(attempt, Attempt::Answered(answer) if !answer.status.is_server_error()) {
        return ended;
    }
    progress.end(*offer, attempt, exchange);
    if first_is_left { first.await } else { second.await }
}

fn begin<'a>(
    exchange: &'a Exchange,
    choice: Choice,
    body: Option<RequestBody>,
    progress: &mut Progress,
) -> impl Future<Output = Ended> + use<'a> {
    let work = Work::new(exchange, &choice);
    let number = progress.begin(&choice, exchange);
    send(exchange, number, choice, work, body)
}

async fn send(
    exchange: &Exchange,
    number: usize,
    choice: Choice,
    work: Work,
    mut body: Option<RequestBody>,
) -> Ended {
    let attempt = attempt::send(exchange, &choice, work, &mut body).await;
    (number, attempt, body)
}
