//! Durations of leases, grants and fences, and the margin between the clocks of two instances.

use std::time::Duration;

/// How long a session lasts after the write that claims or renews it.
pub const SESSION_DURATION: Duration = Duration::from_secs(6);

/// Time between two renewals of a session.
pub const RENEWAL_PERIOD: Duration = Duration::from_secs(2);

/// How long grants last, from before they were asked for.
pub const GRANT_DURATION: Duration = Duration::from_secs(3);

/// Time between two requests for grants.
pub const GRANT_REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// How long slots that an instance held at a site count as occupied once its grant is over.
pub const SLOT_HOLD: Duration = Duration::from_secs(30);

/// Longest promise not to take the session.
pub const PROMISE_DURATION: Duration = Duration::from_secs(10);

/// How long an instance without contact goes on with its floors, and a session on promises.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(2 * 60 * 60);

/// Part of a duration by which two clocks may differ at its end: 1 in 50.
const DRIFT_DIVISOR: u32 = 50;

/// Returns how much of `duration` its holder may use.
pub fn minus_drift(duration: Duration) -> Duration {
    duration - duration / DRIFT_DIVISOR
}

/// Returns how long all others wait for `duration` to be over.
pub fn plus_drift(duration: Duration) -> Duration {
    duration + duration / DRIFT_DIVISOR
}
