//! Timeouts of watches on the platform's store under usual terms, and how soon another instance
//! replaces a watcher that gets no response; [`crate::terms::Timings`] adapts them to the terms.
//!
//! An instance detects that the store does not respond when the wait of its watch is over.

use std::time::Duration;

/// Shortest and longest wait of one watch, drawn at random, for changes that must take effect
/// within 3 s even if the store stops responding to all watchers.
pub const SHORT_WAIT_MS: [u64; 2] = [1_000, 2_000];

/// The same for other subjects.
pub const WAIT_MS: [u64; 2] = [3_000, 8_000];

/// The same for policies, which only operators change: each watch costs a call.
pub const POLICY_WAIT_MS: [u64; 2] = [15_000, 29_000];

/// Time after the end of the wait at which a watch without a response is abandoned.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(600);

/// Interval at which an instance that does not watch checks whether it should.
pub const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(350);
