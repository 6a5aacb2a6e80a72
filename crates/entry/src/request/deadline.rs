//! Deadlines that hold even if the machine is suspended in between.

use crate::process::instance::Instance;
use std::future::Future;
use steering::Time;

/// Runs `work` until a deadline; returns `None` if that passes first.
///
/// Timers do not advance while the machine is suspended. When a suspension is detected, all waits
/// here wake up, so that a caller whose deadline has passed is answered at once and its request is
/// not sent.
pub(super) async fn with_deadline<T>(
    instance: &Instance,
    deadline: Time,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut suspensions = instance.clock.suspensions();
    tokio::pin!(work);
    loop {
        let time_left = deadline.since(instance.clock.now());
        tokio::select! {
            // A result that is ready is used, even after the deadline.
            biased;
            result = &mut work => return Some(result),
            () = tokio::time::sleep(time_left) => {
                if deadline <= instance.clock.now() {
                    return None;
                }
            }
            // The sender can't be dropped: the clock lives as long as the instance.
            _ = suspensions.changed() => {}
        }
    }
}
