//! Checks whether backend servers are reached, while requests leave it unclear.

use super::instance::Instance;
use super::reach;
use crate::connection::dial::{DIAL_TIMEOUT, dial};
use crate::connection::http_client;
use futures::future::join_all;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::{CheckTarget, Incarnation};
use steering::reach::Failure;

/// Time in which the next response usually makes a check unnecessary.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Interval of the checks while a cut may end at any moment.
const INTERVAL: Duration = Duration::from_millis(300);

/// Interval of the checks after [`FREQUENT_FOR`].
const SLOW_INTERVAL: Duration = Duration::from_millis(900);

/// Time for which checks are frequent.
const FREQUENT_FOR: Duration = Duration::from_secs(15);

/// Timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Backend servers that the first round checks in each unclear scope, as one may have failed itself.
const FIRST_TARGETS: usize = 2;

/// Backend servers that show whether one that refuses connections is the only one.
const OTHER_TARGETS: usize = 3;

/// Checks whenever it is unclear whether backend servers are reached, for the lifetime of the process.
pub(super) async fn run(instance: Rc<Instance>) {
    loop {
        instance.reach_unclear.notified().await;
        tokio::time::sleep(FIRST_DELAY).await;
        check_until_clear(&instance).await;
    }
}

async fn check_until_clear(instance: &Rc<Instance>) {
    let started = Instant::now();
    let mut targets = FIRST_TARGETS;
    loop {
        let mut scopes = instance.reach.borrow().unclear_scopes();
        if scopes.is_empty() && targets == FIRST_TARGETS && is_silent(instance) {
            scopes.push(None);
        }
        if scopes.is_empty() {
            return;
        }
        for scope in scopes {
            let drawn = instance.roster.borrow().draw_check_targets(
                scope.as_deref(),
                targets,
                |_| true,
                &mut rand::rng(),
            );
            for target in drawn {
                tokio::task::spawn_local(check(instance.clone(), target));
            }
        }
        targets = 1;
        let is_frequent = started.elapsed() < FREQUENT_FOR;
        let interval = if is_frequent { INTERVAL } else { SLOW_INTERVAL };
        tokio::time::sleep(interval.mul_f64(rand::rng().random_range(0.8..1.2))).await;
    }
}

fn is_silent(instance: &Instance) -> bool {
    instance.reach.borrow().has_drought(Duration::ZERO, Instant::now())
}

/// Checks one backend server.
async fn check(instance: Rc<Instance>, CheckTarget { service, server, address }: CheckTarget) {
    let started = Instant::now();
    let Some(path) = instance.service(&service).map(|service| service.health_path) else { return };
    let record_failure =
        |failure| reach::record_failure(&instance, &service, &server, failure, started);
    let outcome = match dial(address, DIAL_TIMEOUT, instance.timings.connections).await {
        Err(error) => {
            record_failure(Failure::CheckConnecting);
            error.to_string()
        }
        Ok(stream) => {
            reach::record_connection(&instance, &service);
            let getting = http_client::get_over(stream, address, &path);
            match tokio::time::timeout(CHECK_TIMEOUT, getting).await {
                Ok(Some(_)) => {
                    reach::record_response(&instance, &service);
                    "answered".to_owned()
                }
                _ => {
                    record_failure(Failure::CheckUnanswered);
                    "unanswered".to_owned()
                }
            }
        }
    };
    let answered = outcome == "answered";
    let label = if answered { "check-answered" } else { "check-failed" };
    instance.metrics.reach.with_label_values(&[label, "check"]).inc();
    log::info!(
        target: "reach", service = &*service, server = &*server.id, outcome,
        after_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        "checked a backend server"
    );
}

/// Returns whether any of a few backend servers other than `except` accepts a connection, those that have
/// not failed first; `None` without any other.
pub(super) async fn reaches_another(instance: &Rc<Instance>, except: &Incarnation) -> Option<bool> {
    let now = Instant::now();
    let draw = |is_allowed: &dyn Fn(&Incarnation) -> bool| {
        let roster = instance.roster.borrow();
        roster.draw_check_targets(None, OTHER_TARGETS, is_allowed, &mut rand::rng())
    };
    let has_failed = |server: &Incarnation| instance.roster.borrow().has_failed(server, now);
    let mut drawn = draw(&|server| server != except && !has_failed(server));
    if drawn.is_empty() {
        drawn = draw(&|server| server != except);
    }
    if drawn.is_empty() {
        return None;
    }
    let dials = drawn.into_iter().map(|target| accepts_connection(instance, target));
    Some(join_all(dials).await.contains(&true))
}

async fn accepts_connection(
    instance: &Rc<Instance>,
    CheckTarget { service, server, address }: CheckTarget,
) -> bool {
    let started = Instant::now();
    let accepts = dial(address, DIAL_TIMEOUT, instance.timings.connections).await.is_ok();
    if accepts {
        reach::record_connection(instance, &service);
    } else {
        let failure = Failure::CheckConnecting;
        reach::record_failure(instance, &service, &server, failure, started);
    }
    accepts
}
