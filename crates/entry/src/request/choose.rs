//! Chooses the backend server for the next attempt of a request.

use super::exchange::Exchange;
use super::problem::Problem;
use super::progress::Progress;
use crate::process::reach;
use std::time::{Duration, Instant};
use steering::placement::{Choice, PlacementRequest};
use steering::reach::Path;
use steering::suspects::QuarantinedRequest;

/// Time that a request of priority 0 may always queue for a slot, as a factor of the latency
/// objective; each further priority level may queue for a third less.
///
/// A request that queues at the backend server with its object in a warm cache is late, but is
/// served and displaces nothing. Refused, its retry would join the same queue.
const MIN_QUEUE_WAIT_FACTOR: f64 = 1.2;

/// Time that must be left before the deadline to send a request, as a factor of the latency
/// objective.
const MIN_TIME_LEFT_FACTOR: f64 = 0.1;

/// Mean time after which a caller is told to retry while no backend server is reached: one or two
/// checks.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Chooses the next backend server.
///
/// # Errors
///
/// Fails if the request is quarantined, too little time is left, or no
/// backend server has capacity in time.
pub(super) fn choose(exchange: &Exchange, progress: &Progress) -> Result<Choice, Problem> {
    select(exchange, progress, false)
}

/// Chooses another backend server for a hedged request.
///
/// # Errors
///
/// As [`choose`].
pub(super) fn choose_for_hedge(
    exchange: &Exchange,
    progress: &Progress,
) -> Result<Choice, Problem> {
    select(exchange, progress, true)
}

fn select(exchange: &Exchange, progress: &Progress, is_hedge: bool) -> Result<Choice, Problem> {
    let now = Instant::now();
    if let Some(QuarantinedRequest { fingerprint, crashes }) = find_quarantined(exchange) {
        log::info!(
            target: "request",
            id = exchange.head.request_id.as_deref().unwrap_or(""), caller:% = exchange.caller,
            route = &*exchange.route.name, fingerprint:%, ended = crashes;
            "request quarantined: backend servers crashed while they ran it"
        );
        return Err(Problem::Quarantined);
    }
    if is_out_of_reach(exchange) {
        let retry_after = CUT_OFF_RETRY_AFTER.mul_f64(rand::random::<f64>() + 0.5);
        return Err(Problem::CutOff { retry_after });
    }
    let objective = exchange.route.latency_objective;
    let time_left = exchange.time_left();
    if time_left < objective.mul_f64(MIN_TIME_LEFT_FACTOR) {
        return Err(Problem::TimeoutBeforeSend);
    }
    let priority = f64::from(exchange.priority().min(8));
    let min_queue_wait = objective.mul_f64(MIN_QUEUE_WAIT_FACTOR * (2.0f64 / 3.0).powf(priority));
    let allowed_regions = exchange.allowed_regions();
    let query = PlacementRequest {
        service: &exchange.service,
        key_hash: exchange.key_hash,
        kind: exchange.route.kind,
        allowed_regions: &allowed_regions,
        excluded: progress.excluded_servers(),
        remaining_objective: objective.saturating_sub(exchange.age()),
        min_wait_budget: min_queue_wait.min(time_left),
        is_hedge,
    };
    exchange.instance.roster.borrow_mut().choose(&query, now).map_err(|refusal| {
        // Jitter spreads the retries of callers that were refused together.
        let jitter = Duration::from_secs_f64(rand::random::<f64>() * 0.15);
        Problem::NoCapacity { retry_after: refusal.retry_after + jitter }
    })
}

/// Returns whether this instance certainly reaches no backend server, and no other can pass the request
/// on.
fn is_out_of_reach(exchange: &Exchange) -> bool {
    let Exchange { instance, service, .. } = exchange;
    reach::check_silence(instance, service);
    let path = instance.reach.borrow().path(service, rand::random(), Instant::now());
    path == Path::StandIn { is_confirmed: true } && instance.draw_stand_in(service).is_none()
}

/// Returns the quarantined request that this one matches, if too many backend servers crashed while
/// they ran it.
fn find_quarantined(exchange: &Exchange) -> Option<QuarantinedRequest> {
    let mut suspects = exchange.instance.suspects.borrow_mut();
    if suspects.is_empty() {
        None
    } else {
        suspects.check(exchange.fingerprints(), exchange.instance.clock.now())
    }
}
