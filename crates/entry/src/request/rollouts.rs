//! Status of roll-outs for operators.

use crate::process::instance::Instance;
use crate::process::millis::millis;
use serde::Serialize;
use std::sync::Arc;
use steering::rollout::{Reach, RolloutStatus, Tally, VersionTallies};

/// State of one roll-out at this instance.
#[derive(Serialize)]
pub(super) struct RolloutStatusResponse {
    service: Arc<str>,
    target_version: Arc<str>,
    duration_ms: u64,
    age_ms: u64,
    /// Which requests the target version may get: `trial`, `spreading`, `all`, `nothing`, or `any` if
    /// all versions are treated alike.
    reach: &'static str,
    share: f64,
    spreads_for_ms: Option<u64>,
    /// The outcome that a judging instance found, and the time since then.
    found: Option<&'static str>,
    found_ms_ago: Option<u64>,
    /// The outcome that the store holds.
    settled: Option<&'static str>,
    target_slots: u64,
    other_slots: u64,
    /// Requests in flight from this instance to other versions.
    others_in_flight: u32,
    is_judge: bool,
    /// Number of instances whose reports this one has, and their counts.
    reports: usize,
    reported_target: Counts,
    reported_others: Counts,
    /// Counts of this instance.
    own_target: Counts,
    own_others: Counts,
}

/// Counts of the requests to one version or several.
#[derive(Serialize)]
struct Counts {
    ended: u32,
    failed: u32,
    timed: u32,
    slow: u32,
}

impl From<Tally> for Counts {
    fn from(Tally { ended, failed, timed, slow }: Tally) -> Self {
        Self { ended, failed, timed, slow }
    }
}

/// State of all roll-outs.
pub(super) fn statuses(instance: &Instance) -> Vec<RolloutStatusResponse> {
    let statuses = instance.rollouts.borrow().statuses(instance.clock.now());
    statuses.into_iter().map(rollout_status).collect()
}

fn rollout_status(status: RolloutStatus) -> RolloutStatusResponse {
    let reach = match status.rule.as_ref().map(|rule| rule.reach) {
        None => "any",
        Some(Reach::Trial(_)) => "trial",
        Some(Reach::Spreading(_)) => "spreading",
        Some(Reach::All) => "all",
        Some(Reach::Nothing) => "nothing",
    };
    let mut own = VersionTallies::default();
    status.tallies.values().for_each(|route| own += *route);
    let (reports, reported) = status.reported;
    RolloutStatusResponse {
        service: status.order.service,
        target_version: status.order.target_version,
        duration_ms: millis(status.order.duration),
        age_ms: millis(status.age),
        reach,
        share: status.rule.map_or(1.0, |rule| rule.share()),
        spreads_for_ms: status.spreading_for.map(millis),
        found: status.decision.map(|(outcome, _)| outcome.as_str()),
        found_ms_ago: status.decision.map(|(_, ago)| millis(ago)),
        settled: status.settled.map(|outcome| outcome.as_str()),
        target_slots: status.capacity.target,
        other_slots: status.capacity.others,
        others_in_flight: status.others_in_flight,
        is_judge: status.is_judge,
        reports,
        reported_target: reported.target.into(),
        reported_others: reported.others.into(),
        own_target: own.target.into(),
        own_others: own.others.into(),
    }
}
