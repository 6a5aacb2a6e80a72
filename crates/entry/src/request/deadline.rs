//! Work that ends at a deadline, also if the machine was suspended meanwhile.

use crate::process::instance::Instance;
use std::future::Future;
use steering::Time;

/// Does work until a deadline; none if that passes first.
///
/// Timers stand still while the machine is suspended.  Whoever notices a suspension wakes what waits
/// here, so that a caller whose time is over is answered at once and its request is sent nowhere.
pub(super) async fn within<T>(
    instance: &Instance,
    deadline: Time,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut suspensions = instance.clock.suspensions();
    tokio::pin!(work);
    loop {
        let left = deadline.since(instance.clock.now());
        tokio::select! {
            // What is ready goes out, also late.
            biased;
            done = &mut work => return Some(done),
            () = tokio::time::sleep(left) => {
                if deadline <= instance.clock.now() {
                    return None;
                }
            }
            // The clock lives as long as the instance.
            _ = suspensions.changed() => {}
        }
    }
}
