//! Choosing the backend server that a request is offered to next.

use super::exchange::Exchange;
use super::problem::Problem;
use super::progress::Progress;
use std::time::{Duration, Instant};
use steering::placement::{Choice, PlacementRequest};
use steering::suspects::Held;

/// Part of the latency objective that a request of rank 0 waits for a slot in any case; each
/// further rank waits for a third less.
///
/// A request that waits at the backend server that has its object warm is late, but served, and
/// makes nothing cold; refused, it comes back to the same queue.
const LEAST_PATIENCE: f64 = 1.2;

/// Part of the latency objective that must be left for sending a request to be worth it.
const LEAST_TIME: f64 = 0.1;

/// Chooses the next backend server.
///
/// # Errors
///
/// Says why there is none: no time is left, or none has room in time.
pub(super) fn choose(exchange: &Exchange, progress: &Progress) -> Result<Choice, Problem> {
    ask(exchange, progress, false)
}

/// Chooses one for a request whose answer is overdue where it is.
///
/// # Errors
///
/// As [`choose`].
pub(super) fn choose_second(exchange: &Exchange, progress: &Progress) -> Result<Choice, Problem> {
    ask(exchange, progress, true)
}

fn ask(exchange: &Exchange, progress: &Progress, is_hedge: bool) -> Result<Choice, Problem> {
    let now = Instant::now();
    if let Some(Held { fingerprint, ended }) = held(exchange) {
        log::info!(
            target: "request",
            id = exchange.head.request_id.as_deref().unwrap_or(""), caller:% = exchange.caller,
            route = &*exchange.route.name, fingerprint:%, ended;
            "held back"
        );
        return Err(Problem::HeldBack);
    }
    let objective = exchange.route.latency_objective;
    let left = exchange.left();
    if left < objective.mul_f64(LEAST_TIME) {
        return Err(Problem::TimeoutBeforeSend);
    }
    let rank = f64::from(exchange.priority().min(8));
    let least = objective.mul_f64(LEAST_PATIENCE * (2.0f64 / 3.0).powf(rank));
    let allowed_regions = exchange.allowed_regions();
    let ask = PlacementRequest {
        service: &exchange.service,
        key_hash: exchange.key_hash,
        kind: exchange.route.kind,
        allowed_regions: &allowed_regions,
        excluded: progress.excluded(),
        remaining_objective: objective.saturating_sub(exchange.age()),
        min_wait_budget: least.min(left),
        is_hedge,
    };
    exchange.instance.roster.borrow_mut().choose(&ask, now).map_err(|refusal| {
        // Callers that were refused together come back apart.
        let jitter = Duration::from_secs_f64(rand::random::<f64>() * 0.15);
        Problem::NoRoom { retry_after: refusal.retry_after + jitter }
    })
}

/// Tells whether the request is held back, as backend servers ended under it.
fn held(exchange: &Exchange) -> Option<Held> {
    let mut suspects = exchange.instance.suspects.borrow_mut();
    if suspects.is_empty() {
        None
    } else {
        suspects.asked(exchange.fingerprints(), exchange.instance.clock.now())
    }
}
