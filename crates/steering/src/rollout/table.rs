//! All rollouts, from the view of one instance.

use super::active_rollout::{ActiveRollout, Change};
use super::announcement::Announcement;
use super::members::Members;
use super::order_id::OrderId;
use super::progress::RolloutProgress;
use super::report::Report;
use super::resume::ProgressSync;
use super::resumption::Resumption;
use super::rule::VersionRule;
use super::schedule::ExposureLimit;
use super::tally::{Observation, VersionTallies};
use super::version_capacity::VersionCapacity;
use crate::Time;
use crate::deployment::{RolloutOrder, RolloutOutcome, Rollouts};
use crate::gossip::{self, FRESH_FOR};
use crate::placement::rank::name_hash;
use crate::quota::MemberId;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reports of an instance while it counts no bad responses.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of reports that a judge receives per second: the smallest instance reads these in
/// a few percent of its processor time. Larger fleets report less often.
const MAX_REPORTS_PER_S: f64 = 500.0;

/// Time that a writer has before the next one tries: a call to the store with its response.
const WRITER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a writer retries.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// Actions that a step requests, and changes to be logged.
#[derive(Debug, Default)]
pub struct StepActions {
    /// Reports to be sent to judges.
    pub reports: Vec<(MemberId, Vec<u8>)>,
    /// Outcomes to be written to the store.
    pub writes: Vec<OutcomeWrite>,
    /// Orders whose progress is to be synchronized with the store.
    pub syncs: Vec<ProgressSync>,
    /// Changes by service.
    pub changes: Vec<(Arc<str>, Change)>,
}

/// An outcome to be written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutcomeWrite {
    /// The order.
    pub order: RolloutOrder,
    /// Its outcome.
    pub outcome: RolloutOutcome,
}

/// An instance's view of one rollout, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order.
    pub age: Duration,
    /// How requests are split between versions; none if versions are not distinguished.
    pub rule: Option<VersionRule>,
    /// Time since the share began to grow.
    pub spreading_for: Option<Duration>,
    /// The judges' decision on the outcome, and the time since it was made.
    pub decision: Option<(RolloutOutcome, Duration)>,
    /// The final outcome, as stored.
    pub settled: Option<RolloutOutcome>,
    /// Responses that this instance counted, by the hash of the route's name.
    pub tallies: BTreeMap<u32, VersionTallies>,
    /// Requests of this instance in flight to backend servers of other versions.
    pub others_in_flight: u32,
    /// Capacity of the versions.
    pub capacity: VersionCapacity,
    /// Whether this instance is a judge.
    pub is_judge: bool,
    /// Number of instances whose reports this instance has, and the sum of the responses that they
    /// counted.
    pub reported: (usize, VersionTallies),
}

/// All rollouts, from the view of one instance.
#[derive(Debug)]
pub struct RolloutTable {
    exposure: ExposureLimit,
    own: MemberId,
    started_ms: u64,
    /// When this instance last did not know the orders yet.
    orders_unknown_at: Time,
    members: Members,
    by_service: BTreeMap<Arc<str>, ActiveRollout>,
}

impl RolloutTable {
    /// Creates a table without rollouts, when the instance starts; `started_ms` is the start time in
    /// milliseconds since the Unix epoch.
    pub fn new(own: MemberId, started_ms: u64, exposure: ExposureLimit, now: Time) -> Self {
        let (members, by_service) = (Members::default(), BTreeMap::new());
        Self { exposure, own, started_ms, orders_unknown_at: now, members, by_service }
    }

    /// Records that the orders are still unknown: those that are found next may be old ones, however
    /// long ago this instance started.
    pub fn set_orders_unknown(&mut self, now: Time) {
        self.orders_unknown_at = now;
    }

    /// Sets the orders that the store holds.
    pub fn set_orders(&mut self, orders: &Rollouts, now: Time) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        self.by_service.retain(|service, _| {
            let is_kept = orders.contains_key(service);
            if !is_kept {
                changes.push((service.clone(), Change::Withdrawn));
            }
            is_kept
        });
        for (service, rollout) in orders {
            let existing = self.by_service.get_mut(service);
            let change = match existing.filter(|existing| existing.order == rollout.order) {
                Some(existing) => existing.settle(rollout.outcome, now),
                None => {
                    let resumption = Resumption::new(self.orders_unknown_at, now);
                    let new = ActiveRollout::new(rollout, self.exposure, resumption, now);
                    self.by_service.insert(service.clone(), new);
                    Some(rollout.outcome.map_or(Change::Ordered, Change::Settled))
                }
            };
            changes.extend(change.map(|change| (service.clone(), change)));
        }
        changes
    }

    /// Sets the live instances.
    pub fn set_members(&mut self, members: Members) {
        self.members = members;
    }

    /// Sets the capacity of the versions of a service.
    pub fn set_version_capacity(&mut self, service: &str, capacity: VersionCapacity) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.capacity = capacity;
        }
    }

    /// The services with rollouts.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_service.keys()
    }

    /// How requests are split between versions now, by service.
    pub fn rules(&self, now: Time) -> BTreeMap<Arc<str>, VersionRule> {
        let rules = self.by_service.iter();
        rules.filter_map(|(name, rollout)| Some((name.clone(), rollout.rule(now)?))).collect()
    }

    /// Returns whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Counts a request that is sent to a backend server of the version that is rolled out, or of
    /// another one; returns the order that it is counted for.
    pub fn record_request(&mut self, service: &str, is_target: bool) -> Option<OrderId> {
        let rollout = self.by_service.get_mut(service)?;
        rollout.others_in_flight += u32::from(!is_target);
        Some(rollout.id)
    }

    /// Records how a request ended that was counted for an order.
    pub fn record_ending(
        &mut self,
        counted_for: OrderId,
        is_target: bool,
        route: &str,
        observation: &Observation,
    ) {
        let Some(rollout) = self.by_service.values_mut().find(|rollout| rollout.id == counted_for)
        else {
            return;
        };
        // A request sent before the order disappeared and came back is not among those counted
        // since.
        rollout.others_in_flight = rollout.others_in_flight.saturating_sub(u32::from(!is_target));
        if rollout.settled.is_none() {
            rollout
                .tallies
                .entry(name_hash(route) as u32)
                .or_default()
                .tally_mut(is_target)
                .count(observation);
        }
    }

    /// Does the periodic work that is due.
    pub fn step(&mut self, now: Time) -> StepActions {
        let mut step = StepActions::default();
        let min_interval_s = self.members.count() as f64 / MAX_REPORTS_PER_S;
        let fleet_interval = Duration::from_secs_f64(min_interval_s);
        let (own, started_ms, members) = (self.own, self.started_ms, &self.members);
        for (service, rollout) in
            self.by_service.iter_mut().filter(|(_, rollout)| rollout.settled.is_none())
        {
            let judges = members.judges(service);
            // Bad responses are reported at the next step: until the version is rolled back, more follow.
            let own_interval =
                if rollout.has_unreported_bad() { Duration::ZERO } else { MIN_REPORT_INTERVAL };
            let interval = own_interval.max(fleet_interval);
            if rollout.reported_at.is_none_or(|at| now.since(at) >= interval) {
                rollout.reported_at = Some(now);
                for report in rollout.next_reports(own, started_ms, now) {
                    // Encoding into memory can't fail; an empty report would be ignored.
                    let bytes = postcard::to_allocvec(&report).unwrap_or_default();
                    let others = judges.iter().filter(|judge| **judge != own);
                    step.reports.extend(others.map(|judge| (*judge, bytes.clone())));
                    if judges.contains(&own) {
                        rollout.judge.add_report(report);
                    }
                }
            }
            if let Some(rank) = judges.iter().position(|judge| *judge == own) {
                let all_done = rollout.judge.are_done(members.ids());
                let change = rollout.decide(all_done, rank, now);
                step.changes.extend(change.map(|change| (service.clone(), change)));
            }
            step.syncs.extend(rollout.due_progress_sync(own, members, now));
            step.writes.extend(due_outcome_write(rollout, members.writer_rank(service, own), now));
        }
        step
    }

    /// Processes a report of another instance; returns whether it could be decoded.
    pub fn receive_report(&mut self, bytes: &[u8]) -> bool {
        let Ok(report) = postcard::from_bytes::<Report>(bytes) else { return false };
        if let Some(rollout) =
            self.by_service.values_mut().find(|rollout| rollout.id == report.order)
        {
            rollout.judge.add_report(report);
        }
        true
    }

    /// Resumes a rollout from the progress that the store holds, none if it holds none; `unix_ms` is
    /// the time of day in milliseconds since the Unix epoch.
    ///
    /// Returns the progress to be written; none if the store holds all, or the order was replaced.
    pub fn resume(
        &mut self,
        sync: &ProgressSync,
        stored: Option<&RolloutProgress>,
        unix_ms: u64,
        now: Time,
    ) -> (Option<RolloutProgress>, Option<Change>) {
        let Some(rollout) = self.synced(sync) else { return (None, None) };
        let change = rollout.resume(stored, unix_ms, now);
        let mut progress = rollout.progress(unix_ms, now);
        if let Some(stored) = stored {
            progress.merge_stored(stored);
        }
        (Some(progress).filter(|progress| Some(progress) != stored), change)
    }

    /// Records that the store holds what was to be synchronized.
    pub fn set_synced(&mut self, sync: &ProgressSync) {
        if let Some(rollout) = self.synced(sync) {
            rollout.set_saved(sync.milestone);
        }
    }

    fn synced(&mut self, sync: &ProgressSync) -> Option<&mut ActiveRollout> {
        let rollout = self.by_service.get_mut(&sync.order.service);
        rollout.filter(|rollout| rollout.order == sync.order)
    }

    /// Returns whether there are recent changes that other instances may not know yet; none if
    /// there is nothing to announce.
    pub fn has_recent_changes(&self, now: Time) -> Option<bool> {
        let mut announced = self.announced().peekable();
        announced.peek()?;
        Some(announced.any(|rollout| now.since(rollout.changed_at) < FRESH_FOR))
    }

    /// Encodes the announcements for another instance; none if there are none.
    pub fn encode_announcements(&self, now: Time) -> Option<Vec<u8>> {
        gossip::encode_items(self.announced().map(|rollout| rollout.announcement(now)))
    }

    /// Merges the announcements of another instance; none if they can't be decoded.
    pub fn merge_announcements(
        &mut self,
        message: &[u8],
        now: Time,
    ) -> Option<Vec<(Arc<str>, Change)>> {
        let announcements: Vec<Announcement> = gossip::decode_items(message)?;
        let mut changes = Vec::new();
        for announcement in announcements {
            let existing =
                self.by_service.iter_mut().find(|(_, rollout)| rollout.id == announcement.order);
            if let Some((service, rollout)) = existing {
                let merged = rollout.merge(&announcement, now);
                changes.extend(merged.into_iter().map(|change| (service.clone(), change)));
            }
        }
        Some(changes)
    }

    /// The state of all rollouts, for operators.
    pub fn statuses(&self, now: Time) -> Vec<RolloutStatus> {
        let status = |(service, rollout): (&Arc<str>, &ActiveRollout)| RolloutStatus {
            order: rollout.order.clone(),
            age: rollout.age(now),
            rule: rollout.rule(now),
            spreading_for: rollout.spreading_since.map(|at| now.since(at)),
            decision: rollout.decision.map(|decision| (decision.outcome, now.since(decision.at))),
            settled: rollout.settled.map(|(outcome, _)| outcome),
            tallies: rollout.tallies.clone(),
            others_in_flight: rollout.others_in_flight,
            capacity: rollout.capacity,
            is_judge: self.members.judges(service).contains(&self.own),
            reported: rollout.judge.totals(),
        };
        self.by_service.iter().map(status).collect()
    }

    /// The rollouts that are announced to other instances.
    fn announced(&self) -> impl Iterator<Item = &ActiveRollout> {
        let is_known = |rollout: &&ActiveRollout| !rollout.resumption.is_held;
        self.by_service.values().filter(is_known).filter(|rollout| rollout.settled.is_none())
    }
}

/// The outcome that this instance has to write now; `rank` is its rank among the writers.
fn due_outcome_write(
    rollout: &mut ActiveRollout,
    rank: Option<usize>,
    now: Time,
) -> Option<OutcomeWrite> {
    let (rank, decision) = rank.zip(rollout.decision)?;
    let delay = WRITER_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX);
    let is_due = now.since(decision.at) >= delay
        && rollout.written_at.is_none_or(|at| now.since(at) >= WRITE_RETRY_INTERVAL);
    if !is_due {
        return None;
    }
    rollout.written_at = Some(now);
    Some(OutcomeWrite { order: rollout.order.clone(), outcome: decision.outcome })
}
