//! Rules about requests that are sent to more than one backend server: servers at a time, the time that
//! they get, and the sum of retries over the fleet.

use crate::fleet::Fleet;
use crate::history::{FIRST_SERVICE, History, Request, SECOND_SERVICE, Visit};
use crate::windows::{Requests, is_within};
use std::time::{Duration, Instant};

/// Servers at a time that the routes allow, and requests of a run that may exceed it.
const MAX_SERVERS: usize = 2;
const OVER_MAX_ALLOWED: usize = 3;

/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Time by which what a server gets may exceed what remains.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Time after which a second attempt counts as late.
const LATE_RETRY: Duration = Duration::from_millis(500);

/// Attempts with too much time that are allowed: a number, and a fraction of these and of late retries.
pub(crate) const TOO_LONG_ALLOWED: usize = 20;
const TOO_LONG_SHARE: f64 = 0.2;

/// Window over which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries per request, and retries in addition, in a window.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 64.0;

/// What a run has shown of the rules about single requests.
#[derive(Debug, Default)]
pub(crate) struct RetryRules {
    /// Requests that ran at too many servers at a time.
    over_max: usize,
    /// Attempts whose server got too much time.
    pub(crate) too_long: usize,
    /// Other attempts that came late after the first.
    pub(crate) late: usize,
    /// As `too_long`, at instances that were disturbed too.
    pub(crate) too_long_anywhere: usize,
}

impl RetryRules {
    /// Checks a request of which all records are there.
    pub(crate) fn check(&mut self, history: &History, id: &str, request: &Request) {
        if request.class.is_idempotent() && most_at_a_time(request) > MAX_SERVERS {
            self.over_max += 1;
            if self.over_max > OVER_MAX_ALLOWED {
                let detail = format!("at too many servers at a time: {:?}", request.visits);
                history.record_violation("servers at a time", detail, &[id]);
            }
        }
        for visit in &request.visits {
            if !history.server_undisturbed(&visit.server, request.sent_at, visit.at) {
                continue;
            }
            let has_too_much_time = has_too_much_time(request, visit);
            self.too_long_anywhere += usize::from(has_too_much_time);
            if !history.in_touch(request.instance, request.sent_at, visit.at) {
                continue;
            }
            if has_too_much_time {
                self.too_long += 1;
                self.check_too_long(history, id, request);
            } else {
                let first = request.visits.first().map_or(visit.at, |first| first.at);
                self.late += usize::from(visit.at > first + LATE_RETRY);
            }
        }
    }

    fn check_too_long(&self, history: &History, id: &str, request: &Request) {
        let share = self.too_long as f64 / (self.too_long + self.late) as f64;
        if self.too_long > TOO_LONG_ALLOWED && share > TOO_LONG_SHARE {
            let detail = format!(
                "{} attempts got more time than remained, {} late ones didn't: {request:?}",
                self.too_long, self.late
            );
            history.record_violation("time that remains", detail, &[id]);
        }
    }
}

/// The most servers that ran a request at a time.
fn most_at_a_time(request: &Request) -> usize {
    let runs = || request.visits.iter().filter(|visit| visit.has_run());
    let running_at = |at: Instant| {
        runs()
            .filter(|run| run.at <= at && run.ended_at.is_none_or(|ended_at| ended_at > at))
            .count()
    };
    runs().map(|run| running_at(run.at)).max().unwrap_or(0)
}

/// Returns whether a server was given more time than its caller goes on waiting.
pub(crate) fn has_too_much_time(request: &Request, visit: &Visit) -> bool {
    let until = |deadline_ms| visit.at + Duration::from_millis(deadline_ms);
    let latest = request.sent_at + DEADLINE + DEADLINE_SLACK;
    visit.deadline_ms.is_none_or(|deadline_ms| until(deadline_ms) > latest)
}

/// Retries of a service in a window, and those that are allowed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    pub(crate) retries: usize,
    pub(crate) allowed: f64,
}

impl Sum {
    /// The sum of the window that ends at a time.
    pub(crate) fn of_window(requests: &Requests, service: &str, until: Instant) -> Self {
        let sent = |until: Instant| {
            let of_service = requests.values().filter(|sent| sent.class.service() == service);
            of_service.filter(|sent| is_within(sent.sent_at, until, WINDOW)).count()
        };
        let later = requests.values().flat_map(|request| request.visits.iter().skip(1));
        let retries = later
            .filter(|visit| visit.service == service && is_within(visit.at, until, WINDOW))
            .count();
        let most_sent = [until, until - WINDOW / 2, until - WINDOW].map(sent).into_iter().max();
        Self { retries, allowed: RATIO * most_sent.unwrap_or(0) as f64 + EXTRA }
    }

    /// The retries as a fraction of those allowed.
    pub(crate) fn ratio(self) -> f64 {
        if self.retries == 0 { 0.0 } else { self.retries as f64 / self.allowed }
    }
}

/// Checks the sums of the windows that end now.
pub(crate) fn check_sums(fleet: &Fleet) {
    let requests = fleet.history.requests.borrow();
    for service in [FIRST_SERVICE, SECOND_SERVICE] {
        let sum = Sum::of_window(&requests, service, Instant::now());
        if sum.ratio() > 1.0 {
            let Sum { retries, allowed } = sum;
            let detail = format!("{retries} retries of {service} in {WINDOW:?}, {allowed} allowed");
            fleet.history.record_violation("retries", detail, &[]);
        }
    }
}
