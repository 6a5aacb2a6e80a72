//! How long watches of the platform's store wait, and how soon others follow it in place of one that
//! gets no answer.
//!
//! A store that falls silent towards an instance is noticed when its watch should have ended.

use std::time::Duration;

/// Shortest and longest wait of one watch, at random, for what has to be in force within 3 s, also if the
/// store falls silent towards all that follow it.
pub const SOON_WAIT_MS: [u64; 2] = [1_000, 2_000];

/// The same for other subjects.
pub const WAIT_MS: [u64; 2] = [3_000, 8_000];

/// The same for policies, which change by the hand of an operator: each wait has a price.
pub const POLICY_WAIT_MS: [u64; 2] = [15_000, 29_000];

/// Time after the end of its wait at which a watch without an answer is given up.
pub const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// Time after which an instance that hears from others looks whether it should watch itself.
pub const RECHECK: Duration = Duration::from_millis(350);
