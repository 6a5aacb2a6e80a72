//! Graceful shutdown: callers are first directed elsewhere, then requests in flight are finished.

use super::instance::{Instance, StopPhase};
use std::time::Duration;

/// Fraction of the grace period in which new connections are still served, as callers with an older
/// look-up response still arrive.
const LEAVING_FRACTION: f64 = 0.35;

/// Fraction of the grace period after which the process ends in any case.
const END_FRACTION: f64 = 0.95;

/// Fraction of the grace period after which requests under way are answered that their outcome is unknown: the last
/// moment from which the answers still get through.
const ANSWER_FRACTION: f64 = 0.92;

/// Fraction of the grace period that is the deadline of requests that arrive during the stop: it is sent
/// to the backend server and leaves time for the response to get through.
const DEADLINE_FRACTION: f64 = 0.88;

/// Interval at which the requests in flight are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which new connections are still served during a planned stop.
pub(crate) fn leaving_time(grace: Duration) -> Duration {
    grace.mul_f64(LEAVING_FRACTION)
}

/// Shuts the instance down; returns when the process may exit.
pub async fn run(instance: &Instance) {
    let started = instance.clock.now();
    let grace = instance.settings.stop_grace;
    log::info!(target: "process", in_flight = instance.in_flight.get(); "stopping");
    instance.stop_deadline.set(Some(started + grace.mul_f64(DEADLINE_FRACTION)));
    instance.stop_answer_time.set(Some(started + grace.mul_f64(ANSWER_FRACTION)));
    instance.stop.send_replace(StopPhase::Leaving);
    tokio::time::sleep(leaving_time(grace)).await;
    instance.stop.send_replace(StopPhase::Closed);
    while instance.clock.now().since(started) < grace.mul_f64(END_FRACTION) {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if instance.in_flight.get() == 0 {
            break;
        }
    }
    log::info!(target: "process", in_flight = instance.in_flight.get(); "stopped");
    // Gives the last log line and the last responses time to be written.
    tokio::time::sleep(CHECK_INTERVAL).await;
}
