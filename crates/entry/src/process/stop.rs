//! A planned stop: callers first go elsewhere, then requests on the way are finished.

use super::instance::{Instance, StopPhase};
use std::time::Duration;

/// Part of the grace in which new connections are still served: callers that hold an older answer
/// of a look-up still come.
const LEAVING_PART: f64 = 0.35;

/// Part of the grace after which the process ends in any case.
const END_PART: f64 = 0.95;

/// Part of the grace after which a request that came during the stop is answered: its backend
/// server is told this deadline, and its answer still gets through.
const ANSWERED_PART: f64 = 0.88;

/// Time between two looks at what is still on the way.
const LOOK: Duration = Duration::from_millis(50);

/// Runs the stop to its end.
pub async fn run(instance: &Instance) {
    let started = instance.clock.now();
    let grace = instance.settings.stop_grace;
    log::info!(target: "process", in_flight = instance.in_flight.get(); "stopping");
    instance.answer_until.set(Some(started + grace.mul_f64(ANSWERED_PART)));
    instance.stop.send_replace(StopPhase::Leaving);
    tokio::time::sleep(grace.mul_f64(LEAVING_PART)).await;
    instance.stop.send_replace(StopPhase::Closed);
    while instance.clock.now().since(started) < grace.mul_f64(END_PART) {
        tokio::time::sleep(LOOK).await;
        if instance.in_flight.get() == 0 {
            break;
        }
    }
    log::info!(target: "process", in_flight = instance.in_flight.get(); "stopped");
    // The last line and the last answers still leave.
    tokio::time::sleep(LOOK).await;
}
