//! How a roll-out is to end.

use crate::Time;
use crate::deployment::RolloutOutcome;

/// How a roll-out is to end, as a judge found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Ruling {
    pub(super) outcome: RolloutOutcome,
    pub(super) at: Time,
}
