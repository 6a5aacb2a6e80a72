//! Logs when an instance becomes ready or no longer is, and what it waits for.

use super::instance::Instance;
use super::millis::millis;

/// Logs a change of the readiness since `was_ready`; returns the present one.
pub(super) fn log_readiness_change(instance: &Instance, was_ready: bool) -> bool {
    let is_ready = instance.is_ready();
    if is_ready != was_ready {
        log::info!(
            target: "process",
            has_state = instance.has_required_state(), is_resynced = instance.is_resynced(),
            decides_quotas = instance.quotas.can_decide(),
            uptime_ms = millis(instance.uptime());
            "{}", if is_ready { "ready" } else { "not ready" }
        );
    }
    is_ready
}
