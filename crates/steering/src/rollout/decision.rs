//! A judge's decision on the outcome of a rollout.

use crate::Time;
use crate::deployment::RolloutOutcome;

/// A judge's decision on the outcome of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Decision {
    pub(super) outcome: RolloutOutcome,
    pub(super) at: Time,
}
