//! The first step of a planned stop: callers are moved to other instances.

use super::{Process, exchange};
use std::sync::Arc;
use std::time::Duration;

/// Takes this instance out of look-ups, its own and those of others, and waits until the callers' answers have expired.
///
/// Requests that arrive meanwhile are served; over HTTP/1 their connections close after them.
pub(super) async fn move_callers(process: &Arc<Process>) {
    process.start_draining();
    exchange::announce_stop(process).await;
    tokio::time::sleep(notice(process)).await;
}

/// Returns how long callers may still use a look-up that names this instance, within the limit of
/// the settings.
fn notice(process: &Process) -> Duration {
    let version = process.version.load();
    let ttl_ms = version.as_ref().map_or(0, |version| version.configuration.lookup.ttl_ms);
    Duration::from_millis(ttl_ms.min(process.settings.drain_notice_ms))
}
