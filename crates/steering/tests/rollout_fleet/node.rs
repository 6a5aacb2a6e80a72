//! One instance of the fleet.

use super::outcome::EXPOSURE;
use super::setup::Mutant;
use std::time::Duration;
use steering::Time;
use steering::quota::MemberId;
use steering::rollout::{ExposureLimit, RolloutTable};

/// Time without faults after which an instance counts as connected.
pub(crate) const CONTACT: Duration = Duration::from_secs(4);

pub(super) struct Node {
    pub(super) id: MemberId,
    pub(super) table: RolloutTable,
    pub(super) life: u64,
    /// Store revision that it knows.
    pub(super) knows: u64,
    pub(super) learns_at: Time,
    pub(super) down_since: Time,
    pub(super) down_until: Time,
    pub(super) cut_until: Time,
    pub(super) mute_until: Time,
    pub(super) no_store_until: Time,
    pub(super) suspended_until: Time,
    /// Time of its last fault.
    pub(super) calm_since: Time,
    pub(super) table_step_at: Time,
    pub(super) beat_at: Time,
    pub(super) heard: u64,
}

impl Node {
    pub(super) fn runs(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.suspended_until
    }

    pub(super) fn is_in_touch(&self, now: Time) -> bool {
        let is_calm = [
            self.down_until,
            self.cut_until,
            self.mute_until,
            self.no_store_until,
            self.suspended_until,
        ];
        let since = is_calm.into_iter().fold(self.calm_since, Time::max);
        self.runs(now) && now.since(since) >= CONTACT && now > since
    }
}

pub(super) fn new_table(id: MemberId, life: u64, mutant: Mutant) -> RolloutTable {
    let share = match mutant {
        Mutant::SpreadsAtOnce => 1.0 / 0.6,
        _ => EXPOSURE.0,
    };
    RolloutTable::new(id, life, ExposureLimit { share })
}
