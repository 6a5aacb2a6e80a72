//! Status of roll-outs for operators.

use super::attempt::millis;
use crate::process::instance::Instance;
use serde::Serialize;
use std::sync::Arc;
use steering::rollout::{Reach, RolloutStatus, Tally, VersionTallies};

/// State of one roll-out at this instance.
#[derive(Serialize)]
pub(super) struct RolloutAnswer {
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
pub(super) fn statuses(instance: &Instance) -> Vec<RolloutAnswer> {
    let standings = instance.rollouts.borrow().statuses(instance.clock.now());
    standings.into_iter().map(rollout_status).collect()
}

fn rollout_status(standing: RolloutStatus) -> RolloutAnswer {
    let reach = match standing.rule.as_ref().map(|rule| rule.reach) {
        None => "any",
        Some(Reach::Trial(_)) => "trial",
        Some(Reach::Spreading(_)) => "spreading",
        Some(Reach::All) => "all",
        Some(Reach::Nothing) => "nothing",
    };
    let mut own = VersionTallies::default();
    standing.tallies.values().for_each(|route| own += *route);
    let (reports, reported) = standing.reported;
    RolloutAnswer {
        service: standing.order.service,
        target_version: standing.order.target_version,
        duration_ms: millis(standing.order.duration),
        age_ms: millis(standing.age),
        reach,
        share: standing.rule.map_or(1.0, |rule| rule.share()),
        spreads_for_ms: standing.spreading_for.map(millis),
        found: standing.decision.map(|(outcome, _)| outcome.as_str()),
        found_ms_ago: standing.decision.map(|(_, ago)| millis(ago)),
        settled: standing.settled.map(|outcome| outcome.as_str()),
        target_slots: standing.capacity.target,
        other_slots: standing.capacity.others,
        others_in_flight: standing.others_in_flight,
        is_judge: standing.is_judge,
        reports,
        reported_target: reported.target.into(),
        reported_others: reported.others.into(),
        own_target: own.target.into(),
        own_others: own.others.into(),
    }
}
