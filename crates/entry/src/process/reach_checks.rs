//! Checks whether backend servers are reached, while requests leave it unclear.

use super::instance::Instance;
use super::millis::millis;
use super::reach;
use crate::connection::dial::{DIAL_TIMEOUT, dial, is_exhaustion};
use crate::connection::http_client::{self, GetError};
use futures::future::join_all;
use rand::Rng;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::{CheckTarget, Incarnation};
use steering::reach::Failure;
use tokio::net::TcpStream;

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
                None,
                |server| instance.reach.borrow().has_failed(scope.as_deref(), server),
                Instant::now(),
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
async fn check(instance: Rc<Instance>, target: CheckTarget) {
    let started = Instant::now();
    let CheckTarget { service, server, address } = &target;
    let Some(path) = instance.service(service).map(|service| service.health_path) else { return };
    let (label, outcome) = match connect(&instance, &target, started).await {
        Err(error) if is_exhaustion(&error) => ("check-not-made", error.to_string()),
        Err(error) => ("check-failed", error.to_string()),
        Ok(stream) => {
            let getting = http_client::check_over(stream, *address, &path);
            let why = match tokio::time::timeout(CHECK_TIMEOUT, getting).await {
                Ok(Ok(_)) => Ok("answered".to_owned()),
                // The backend server is reached, whatever it says.
                Ok(Err(error @ GetError::Response(_))) => Ok(error.to_string()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("unanswered".to_owned()),
            };
            match why {
                Ok(outcome) => {
                    reach::record_response(&instance, service, true);
                    ("check-answered", outcome)
                }
                Err(outcome) => {
                    let failure = Failure::CheckUnanswered;
                    reach::record_failure(&instance, service, server, failure, started);
                    ("check-failed", outcome)
                }
            }
        }
    };
    instance.metrics.reach.with_label_values(&[label, "check"]).inc();
    log::info!(
        target: "reach", service = &**service, server = &*server.id, outcome,
        after_ms = millis(started.elapsed());
        "checked a backend server"
    );
}

/// Returns whether any of a few backend servers other than `except` accepts a connection; `None` without
/// any other.
pub(super) async fn reaches_another(instance: &Rc<Instance>, except: &Incarnation) -> Option<bool> {
    let drawn = instance.roster.borrow().draw_check_targets(
        None,
        OTHER_TARGETS,
        Some(except),
        |_| false,
        Instant::now(),
        &mut rand::rng(),
    );
    if drawn.is_empty() {
        return None;
    }
    let connecting =
        drawn.iter().map(async |target| connect(instance, target, Instant::now()).await.is_ok());
    Some(join_all(connecting).await.contains(&true))
}

/// Connects for a check that began at `started`, and records if the backend server was not reached.
async fn connect(
    instance: &Instance,
    CheckTarget { service, server, address }: &CheckTarget,
    started: Instant,
) -> io::Result<TcpStream> {
    let connected = dial(*address, DIAL_TIMEOUT, instance.timings.connections).await;
    if connected.as_ref().is_err_and(|error| !is_exhaustion(error)) {
        reach::record_failure(instance, service, server, Failure::CheckConnecting, started);
    }
    connected
}
