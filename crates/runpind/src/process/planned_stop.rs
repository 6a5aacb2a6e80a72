//! First step of a planned stop: callers are redirected to other instances.

use super::{Process, gossip};
use std::sync::Arc;
use std::time::Duration;

/// Removes this instance from lookup responses on all instances, and waits until the responses that
/// callers cached have expired.
///
/// Requests that arrive in the meantime are served; HTTP/1 connections close after them.
pub(super) async fn redirect_callers(process: &Arc<Process>) {
    process.start_draining();
    gossip::announce_stop(process).await;
    tokio::time::sleep(notice_period(process)).await;
}

/// Returns how long callers may still use a lookup response with this instance, limited by
/// `drain_notice_ms`.
fn notice_period(process: &Process) -> Duration {
    let version = process.version.load();
    let ttl_ms = version.as_ref().map_or(0, |version| version.configuration.lookup.ttl_ms);
    Duration::from_millis(ttl_ms.min(process.settings.drain_notice_ms))
}
