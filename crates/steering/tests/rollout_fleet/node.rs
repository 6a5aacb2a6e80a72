//! One instance of the fleet.

use super::outcome::{EXPOSURE, ROLLBACK};
use super::setup::Defect;
use std::time::Duration;
use steering::Time;
use steering::quota::MemberId;
use steering::rollout::{ExposureLimit, RolloutTable};

/// Time without faults after which an instance counts as connected.
pub(crate) const CONNECTED_AFTER: Duration = Duration::from_secs(4);

pub(super) struct Node {
    pub(super) id: MemberId,
    pub(super) table: RolloutTable,
    pub(super) start_count: u64,
    /// Store revision that it knows.
    pub(super) known_revision: u64,
    pub(super) next_update_at: Time,
    pub(super) down_since: Time,
    pub(super) down_until: Time,
    pub(super) cut_until: Time,
    pub(super) send_blocked_until: Time,
    pub(super) no_store_until: Time,
    pub(super) suspended_until: Time,
    /// Time of its last fault.
    pub(super) last_fault_at: Time,
    pub(super) table_step_at: Time,
    pub(super) gossip_at: Time,
    pub(super) received: u64,
    /// Whether it has read the stored progress, or received an announcement, since its start.
    pub(super) is_informed: bool,
}

impl Node {
    pub(super) fn is_running(&self, now: Time) -> bool {
        now >= self.down_until && now >= self.suspended_until
    }

    pub(super) fn is_connected(&self, now: Time) -> bool {
        let is_calm = [
            self.down_until,
            self.cut_until,
            self.send_blocked_until,
            self.no_store_until,
            self.suspended_until,
        ];
        let since = is_calm.into_iter().fold(self.last_fault_at, Time::max);
        self.is_running(now) && now.since(since) >= CONNECTED_AFTER && now > since
    }
}

pub(super) fn new_table(
    id: MemberId,
    start_count: u64,
    defect: Defect,
    started_at: Time,
) -> RolloutTable {
    let share = match defect {
        Defect::SpreadsImmediately => 1.0 / 0.6,
        _ => EXPOSURE.0,
    };
    let started_at = match defect {
        Defect::IgnoresHold => Time::default(),
        _ => started_at,
    };
    let exposure = ExposureLimit { share, rollback: Some(ROLLBACK) };
    RolloutTable::new(id, start_count, exposure, started_at)
}
