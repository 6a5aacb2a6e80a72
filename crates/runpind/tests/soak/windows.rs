//! Rules about the number of requests in a span of time: quotas, cold and limited servers,
//! roll-outs.

use crate::fleet::{Backend, COLD, Fleet, Order, SMALL_QUOTA};
use crate::history::{RECONNECTION, Request, Visit};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Window over which quotas are enforced, in seconds.
const QUOTA_WINDOW_S: f64 = 5.0;

/// Runs of the customer `small` in a window: rate and burst, the agreed overage and the slack.
const QUOTA_LIMIT: f64 = (SMALL_QUOTA * QUOTA_WINDOW_S + SMALL_QUOTA) * 1.1 + 20.0;

/// Requests a second that a cold server may get: its rate, the agreed overage and the slack.
const COLD_LIMIT: f64 = 11.0 * 1.5 + 8.0;

/// Window over which a stated limit is counted, the agreed overage and the slack.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_OVERAGE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Fraction of a service's requests that a bad version may get, and requests in addition.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Bad responses after which a version has to be rolled back, and the time for that.
const ROLLBACK_ANSWERS: usize = 50;
const ROLLBACK_BOUND: Duration = Duration::from_secs(5);

/// Version that fails.
pub(crate) const BAD_VERSION: &str = "v2";

/// Checks the windows that end now.
pub(crate) fn check(fleet: &Fleet) {
    let requests = fleet.history.requests.borrow();
    let now = Instant::now();
    check_quota(fleet, &requests, now);
    let backends = fleet.backends.borrow();
    for backend in backends.iter() {
        check_cold(fleet, &requests, backend);
        check_limit(fleet, &requests, backend, now);
    }
    if let Some(order) = fleet.rollout.get() {
        check_exposure(fleet, &requests, &backends, order);
    }
}

pub(crate) type Requests = BTreeMap<String, Request>;

pub(crate) fn is_within(at: Instant, until: Instant, window: Duration) -> bool {
    at <= until && until - at < window
}

/// Visits of requests that were sent and arrived in a window.
fn visits(requests: &Requests, until: Instant, window: Duration) -> impl Iterator<Item = &Visit> {
    let sent = requests.values().filter(move |request| is_within(request.sent_at, until, window));
    sent.flat_map(|request| &request.visits).filter(move |visit| is_within(visit.at, until, window))
}

fn check_quota(fleet: &Fleet, requests: &Requests, now: Instant) {
    let window = Duration::from_secs_f64(QUOTA_WINDOW_S);
    let of_small = requests.values().filter(|request| {
        request.class.customer == "small" && is_within(request.sent_at, now, window)
    });
    let runs = of_small
        .flat_map(|request| &request.visits)
        .filter(|visit| visit.has_run() && is_within(visit.at, now, window))
        .count();
    if runs as f64 > QUOTA_LIMIT {
        let detail = format!("{runs} runs in {QUOTA_WINDOW_S} s, {QUOTA_LIMIT} allowed");
        fleet.history.record_violation("quota", detail, &[]);
    }
}

fn check_cold(fleet: &Fleet, requests: &Requests, backend: &Backend) {
    let Some(from) = backend.cold_from else { return };
    let now = Instant::now();
    let window = Duration::from_secs(1);
    if now - from > COLD {
        return;
    }
    let to_it = visits(requests, now, window).filter(|visit| *visit.server == *backend.mock.id);
    let count = to_it.filter(|visit| visit.has_run() || !is_replaced(visit)).count();
    if count as f64 > COLD_LIMIT {
        let detail = format!("{count} requests in a second to the cold {}", backend.mock.id);
        fleet.history.record_violation("cold", detail, &[]);
    }
}

/// Requests to a server that states a limit keep within it, from the time on at which all instances
/// in touch have to know it: some time after the first request whose response states it.
fn check_limit(fleet: &Fleet, requests: &Requests, backend: &Backend, now: Instant) {
    let Some(limit) = backend.limit.get() else { return };
    let under_limit = || {
        requests
            .values()
            .flat_map(|request| request.visits.iter().map(move |visit| (request, visit)))
            .filter(|(_, visit)| *visit.server == *backend.mock.id && visit.at >= limit.from)
    };
    let Some(first) = under_limit().map(|(_, visit)| visit.at).min() else { return };
    let begin = (first + RECONNECTION).max(now - LIMIT_WINDOW);
    let is_counted = |request: &Request, visit: &Visit| {
        visit.at >= begin && fleet.history.in_touch(request.instance, visit.at, visit.at)
    };
    let count = under_limit().filter(|(request, visit)| is_counted(request, visit)).count();
    let allowed = LIMIT_OVERAGE * limit.per_s * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    if count as f64 > allowed {
        let detail = format!(
            "{count} requests in {LIMIT_WINDOW:?} to {}, {allowed} allowed",
            backend.mock.id
        );
        fleet.history.record_violation("limit", detail, &[]);
    }
}

/// Returns whether the server responded 421, which counts towards no limit.
fn is_replaced(visit: &Visit) -> bool {
    visit.mode == crate::common::server::ResponseMode::Replaced
}

fn check_exposure(fleet: &Fleet, requests: &Requests, backends: &[Rc<Backend>], order: Order) {
    let history = &fleet.history;
    let is_bad = |visit: &Visit| {
        let mut bad = backends.iter().filter(|backend| backend.version == BAD_VERSION);
        bad.any(|backend| backend.mock.id == *visit.server)
    };
    let mut total = 0;
    let mut bad: Vec<(Instant, Instant)> = Vec::new();
    for request in requests.values() {
        let visits = request.visits.iter().filter(|visit| {
            visit.at >= order.from && order.until.is_none_or(|until| visit.at < until)
        });
        for visit in visits {
            total += 1;
            if is_bad(visit) && history.in_touch(request.instance, visit.at, visit.at) {
                bad.push((visit.at, request.sent_at));
            }
        }
    }
    let allowed = EXPOSURE_SHARE * f64::from(total) + EXPOSURE_SLACK;
    if bad.len() as f64 > allowed {
        let detail = format!("{} requests to the bad version, {allowed} allowed", bad.len());
        history.record_violation("exposure", detail, &[]);
    }
    bad.sort();
    let Some((noticed, _)) = bad.get(ROLLBACK_ANSWERS - 1).copied() else { return };
    let is_late = |(at, sent_at): &(Instant, Instant)| {
        *sent_at > noticed + ROLLBACK_BOUND && history.all_in_touch(noticed, *at)
    };
    if bad.iter().any(is_late) {
        let detail = format!(
            "the bad version gets requests {ROLLBACK_BOUND:?} after its {ROLLBACK_ANSWERS}th answer"
        );
        history.record_violation("roll-back", detail, &[]);
    }
}
