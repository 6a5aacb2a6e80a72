//! All roll-outs, as an instance takes part in them.

use super::active_rollout::{Change, UnderWay};
use super::announcement::Announcement;
use super::members::Members;
use super::order_id::OrderId;
use super::report::Report;
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

/// Shortest time between two reports of an instance.
const REPORT_EVERY: Duration = Duration::from_millis(400);

/// Reports that a judge hears in a second at most: what the smallest instance reads in a few hundredths
/// of its processor time.  Larger fleets report less often.
const REPORTS_PER_S: f64 = 500.0;

/// Time that a writer has before the next one tries: a call to the store with its answer.
const WRITER_PATIENCE: Duration = Duration::from_millis(400);

/// Time after which a writer tries again.
const WRITE_AGAIN: Duration = Duration::from_millis(800);

/// What a step asks for.
#[derive(Debug, Default)]
pub struct StepActions {
    /// Reports to other instances.
    pub reports: Vec<(MemberId, Vec<u8>)>,
    /// Ends to be written to the store.
    pub writes: Vec<OutcomeWrite>,
    /// What changed, by service.
    pub changes: Vec<(Arc<str>, Change)>,
}

/// An end to be written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutcomeWrite {
    /// The order that ended.
    pub order: RolloutOrder,
    /// How it ended.
    pub outcome: RolloutOutcome,
}

/// What an instance knows of one roll-out, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The order.
    pub order: RolloutOrder,
    /// Time since it.
    pub age: Duration,
    /// How requests are divided; none if all versions are alike.
    pub rule: Option<VersionRule>,
    /// Time since the share began to grow.
    pub spreads_for: Option<Duration>,
    /// How it is to end, and the time since that was found.
    pub found: Option<(RolloutOutcome, Duration)>,
    /// How it ended, by the store.
    pub settled: Option<RolloutOutcome>,
    /// What this instance counted, by the hash of the route's name.
    pub counted: BTreeMap<u32, VersionTallies>,
    /// Requests under way from here to backend servers of other versions.
    pub others_in_flight: u32,
    /// What room the versions have.
    pub capacity: VersionCapacity,
    /// Whether this instance is a judge.
    pub is_judge: bool,
    /// Instances whose reports it has, and what these counted.
    pub reported: (usize, VersionTallies),
}

/// All roll-outs, as an instance takes part in them.
#[derive(Debug)]
pub struct RolloutTable {
    terms: ExposureLimit,
    own: MemberId,
    started_ms: u64,
    members: Members,
    by_service: BTreeMap<Arc<str>, UnderWay>,
}

impl RolloutTable {
    /// Begins without roll-outs; `started_ms` is the time of day of the instance's start.
    pub fn new(own: MemberId, started_ms: u64, terms: ExposureLimit) -> Self {
        let members = Members::default();
        Self { terms, own, started_ms, members, by_service: BTreeMap::new() }
    }

    /// Takes over the orders that the store holds.
    pub fn set_orders(&mut self, orders: &Rollouts, now: Time) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        self.by_service.retain(|service, _| {
            let stays = orders.contains_key(service);
            if !stays {
                changes.push((service.clone(), Change::Withdrawn));
            }
            stays
        });
        for (service, rollout) in orders {
            let known = self.by_service.get_mut(service);
            let change = match known.filter(|known| known.order == rollout.order) {
                Some(known) => known.settle(rollout.outcome, now),
                None => {
                    let new = UnderWay::new(rollout, self.terms, now);
                    self.by_service.insert(service.clone(), new);
                    Some(rollout.outcome.map_or(Change::Ordered, Change::Settled))
                }
            };
            changes.extend(change.map(|change| (service.clone(), change)));
        }
        changes
    }

    /// Takes over which instances there are.
    pub fn set_members(&mut self, members: Members) {
        self.members = members;
    }

    /// Takes over what room the versions of a service have.
    pub fn set_version_capacity(&mut self, service: &str, capacity: VersionCapacity) {
        if let Some(it) = self.by_service.get_mut(service) {
            it.capacity = capacity;
        }
    }

    /// The services of which versions are brought in.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_service.keys()
    }

    /// How requests are divided now, by service.
    pub fn rules(&self, now: Time) -> BTreeMap<Arc<str>, VersionRule> {
        let rules = self.by_service.iter();
        rules.filter_map(|(name, it)| Some((name.clone(), it.rule(now)?))).collect()
    }

    /// Tells whether there are orders.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Counts a request that is sent to a backend server of the version that is brought in, or of
    /// another one; returns the order by which it was.
    pub fn record_request(&mut self, service: &str, is_target: bool) -> Option<OrderId> {
        let it = self.by_service.get_mut(service)?;
        it.others_in_flight += u32::from(!is_target);
        Some(it.id)
    }

    /// Takes over how a request ended that was counted for an order.
    pub fn record_ending(
        &mut self,
        counted: OrderId,
        is_target: bool,
        route: &str,
        seen: &Observation,
    ) {
        let Some(it) = self.by_service.values_mut().find(|it| it.id == counted) else { return };
        // One sent before the order was gone for a moment is not among those counted since.
        it.others_in_flight = it.others_in_flight.saturating_sub(u32::from(!is_target));
        if it.settled.is_none() {
            it.counted.entry(name_hash(route) as u32).or_default().tally_mut(is_target).count(seen);
        }
    }

    /// Does what is due.
    pub fn step(&mut self, now: Time) -> StepActions {
        let mut step = StepActions::default();
        let most = self.members.count() as f64 / REPORTS_PER_S;
        let every = REPORT_EVERY.max(Duration::from_secs_f64(most));
        let (own, started_ms, members) = (self.own, self.started_ms, &self.members);
        for (service, it) in self.by_service.iter_mut().filter(|(_, it)| it.settled.is_none()) {
            let judges = members.judges(service);
            if it.reported_at.is_none_or(|at| now.since(at) >= every) {
                it.reported_at = Some(now);
                it.reports += 1;
                let report = Report {
                    order: it.id,
                    member: own,
                    started_ms,
                    number: it.reports,
                    is_done: it.is_done(now),
                    routes: it.counted.iter().map(|(route, seen)| (*route, *seen)).collect(),
                };
                // What is written into memory can't fail; an empty report would be read by nobody.
                let bytes = postcard::to_allocvec(&report).unwrap_or_default();
                let others = judges.iter().filter(|judge| **judge != own);
                step.reports.extend(others.map(|judge| (*judge, bytes.clone())));
                if judges.contains(&own) {
                    it.judge.hear(report);
                }
            }
            if let Some(place) = judges.iter().position(|judge| *judge == own) {
                let all_done = it.judge.are_done(members.ids());
                let change = it.decide(all_done, place, now);
                step.changes.extend(change.map(|change| (service.clone(), change)));
            }
            step.writes.extend(due_write(it, members.writer_rank(service, own), now));
        }
        step
    }

    /// Takes over what another instance reports; tells whether it could be read.
    pub fn receive_report(&mut self, bytes: &[u8]) -> bool {
        let Ok(report) = postcard::from_bytes::<Report>(bytes) else { return false };
        if let Some(it) = self.by_service.values_mut().find(|it| it.id == report.order) {
            it.judge.hear(report);
        }
        true
    }

    /// Tells whether something is known that others may not know yet; none if there is nothing to tell.
    pub fn has_recent_changes(&self, now: Time) -> Option<bool> {
        let mut told = self.told().peekable();
        told.peek()?;
        Some(told.any(|it| now.since(it.changed_at) < FRESH_FOR))
    }

    /// What this instance tells another one; none if there is nothing.
    pub fn encode_announcements(&self, now: Time) -> Option<Vec<u8>> {
        gossip::encode_items(self.told().map(|it| it.announcement(now)))
    }

    /// Takes over what another instance tells; none if it can't be read.
    pub fn merge_announcements(
        &mut self,
        message: &[u8],
        now: Time,
    ) -> Option<Vec<(Arc<str>, Change)>> {
        let announcements: Vec<Announcement> = gossip::decode_items(message)?;
        let mut changes = Vec::new();
        for announcement in announcements {
            let known = self.by_service.iter_mut().find(|(_, it)| it.id == announcement.order);
            if let Some((service, it)) = known {
                let heard = it.hear(&announcement, now);
                changes.extend(heard.into_iter().map(|change| (service.clone(), change)));
            }
        }
        Some(changes)
    }

    /// What is known of all roll-outs, for operators.
    pub fn statuses(&self, now: Time) -> Vec<RolloutStatus> {
        let standing = |(service, it): (&Arc<str>, &UnderWay)| RolloutStatus {
            order: it.order.clone(),
            age: it.age(now),
            rule: it.rule(now),
            spreads_for: it.spread_at.map(|at| now.since(at)),
            found: it.ruling.map(|ruling| (ruling.outcome, now.since(ruling.at))),
            settled: it.settled.map(|(outcome, _)| outcome),
            counted: it.counted.clone(),
            others_in_flight: it.others_in_flight,
            capacity: it.capacity,
            is_judge: self.members.judges(service).contains(&self.own),
            reported: it.judge.seen(),
        };
        self.by_service.iter().map(standing).collect()
    }

    /// The roll-outs of which others are told.
    fn told(&self) -> impl Iterator<Item = &UnderWay> {
        self.by_service.values().filter(|it| it.settled.is_none())
    }
}

/// The end that this instance has to write now; `place` is its own among the writers.
fn due_write(it: &mut UnderWay, place: Option<usize>, now: Time) -> Option<OutcomeWrite> {
    let (place, ruling) = place.zip(it.ruling)?;
    let patience = WRITER_PATIENCE * u32::try_from(place).unwrap_or(u32::MAX);
    let is_due = now.since(ruling.at) >= patience
        && it.written_at.is_none_or(|at| now.since(at) >= WRITE_AGAIN);
    if !is_due {
        return None;
    }
    it.written_at = Some(now);
    Some(OutcomeWrite { order: it.order.clone(), outcome: ruling.outcome })
}
