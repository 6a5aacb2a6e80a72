//! Deadlines that hold even if the machine is suspended in between, and before the process ends.

use crate::process::instance::Instance;
use std::future::Future;
use steering::Time;

/// Runs `work` until a deadline; returns `None` if that passes first.
///
/// Timers do not advance while the machine is suspended. When a suspension is detected, all waits
/// here wake up, so that a caller whose deadline has passed is answered at once and its request is
/// not sent.
///
/// In a planned stop the deadline is at the latest the time at which requests under way are answered.
pub(super) async fn with_deadline<T>(
    instance: &Instance,
    deadline: Time,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut suspensions = instance.clock.suspensions();
    let mut stop = instance.stop.subscribe();
    tokio::pin!(work);
    loop {
        let answer_time = instance.stop_answer_time.get();
        let deadline = answer_time.map_or(deadline, |answer_time| answer_time.min(deadline));
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
            // The senders can't be dropped: they live as long as the instance.
            _ = suspensions.changed() => {}
            _ = stop.changed() => {}
        }
    }
}
