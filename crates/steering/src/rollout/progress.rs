//! The progress of a rollout as the store keeps it, from which instances resume after all of them have
//! restarted.

use super::tally::{Tally, VersionTallies};
use crate::deployment::{RolloutOrder, RolloutOutcome};
use std::collections::BTreeMap;

/// Number of responses from which on progress is worth a write; each further step is a multiple of
/// it.
const FIRST_RESPONSES: u32 = 16;

/// Difference between times at which an order was first seen that counts as none: the clocks of
/// machines differ.
const FIRST_SEEN_TOLERANCE_MS: u64 = 1_000;

/// Progress of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutProgress {
    /// The order.
    pub order: RolloutOrder,
    /// Time of day at which an instance first saw the order, in milliseconds since the Unix epoch.
    pub first_seen_ms: u64,
    /// Whether the share has begun to grow.
    pub spreads: bool,
    /// The outcome that a judge decided on.
    pub outcome: Option<RolloutOutcome>,
    /// Responses counted so far, by the hash of the route's name.
    pub routes: BTreeMap<u32, VersionTallies>,
}

impl RolloutProgress {
    /// Merges other progress of the same order. The result does not depend on which of the two is
    /// newer, so that a delayed write takes nothing back.
    pub fn merge(&mut self, other: &Self) {
        self.first_seen_ms = self.first_seen_ms.min(other.first_seen_ms);
        self.spreads |= other.spreads;
        self.outcome = match (self.outcome, other.outcome) {
            (Some(RolloutOutcome::RolledBack), _) | (_, Some(RolloutOutcome::RolledBack)) => {
                Some(RolloutOutcome::RolledBack)
            }
            (own, others) => own.or(others),
        };
        if other.totals().ended > self.totals().ended {
            self.routes = other.routes.clone();
        }
    }

    /// Merges what the store holds. A time at which the order was first seen that is nearly the
    /// same stays as it is stored, so that it alone is no reason for a write.
    pub(super) fn merge_stored(&mut self, stored: &Self) {
        self.merge(stored);
        if self.first_seen_ms.abs_diff(stored.first_seen_ms) < FIRST_SEEN_TOLERANCE_MS {
            self.first_seen_ms = stored.first_seen_ms;
        }
    }

    /// All responses of the version.
    pub fn totals(&self) -> Tally {
        let mut totals = Tally::default();
        self.routes.values().for_each(|route| totals += route.target);
        totals
    }
}

/// How far a rollout has come, in the coarse steps at which its progress is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Milestone {
    spreads: bool,
    outcome: Option<RolloutOutcome>,
    responses_step: u32,
    bad_step: u32,
}

impl Milestone {
    /// Computes the milestone from the responses of the version since the fleet started.
    pub(super) fn new(spreads: bool, outcome: Option<RolloutOutcome>, totals: Tally) -> Self {
        Self {
            spreads,
            outcome,
            // A factor of four between steps of responses, and of two between those of bad ones.
            responses_step: (totals.ended / FIRST_RESPONSES)
                .checked_ilog(4)
                .map_or(0, |step| step + 1),
            bad_step: totals.bad().checked_ilog2().map_or(0, |step| step + 1),
        }
    }
}
