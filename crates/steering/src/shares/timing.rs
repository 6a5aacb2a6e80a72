//! Durations of leases, grants and fences, and the margin between the clocks of two instances.

use std::time::Duration;

/// How long a session is valid, counted from the write that claims or renews it.
pub const SESSION_DURATION: Duration = Duration::from_secs(6);

/// Interval between two renewals of a session.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// How long a grant is valid, counted from before its request was sent.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);

/// Interval between two requests for grants.
pub const GRANT_REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// How long an instance's slots at a site count as occupied after its grant has expired.
pub const SLOT_HOLD: Duration = Duration::from_secs(30);

/// Longest promise not to claim the session.
pub const PROMISE_DURATION: Duration = Duration::from_secs(10);

/// How long an instance without contact may use its floors, and how long promises may extend a
/// session that the platform does not renew.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(2 * 60 * 60);

/// Maximum relative drift between two clocks over a duration: 1/50.
const DRIFT_DIVISOR: u32 = 50;

/// Returns how much of `duration` the holder of a lease may use.
pub fn minus_drift(duration: Duration) -> Duration {
    duration - duration / DRIFT_DIVISOR
}

/// Returns how long everyone else waits before `duration` counts as expired.
pub fn plus_drift(duration: Duration) -> Duration {
    duration + duration / DRIFT_DIVISOR
}
