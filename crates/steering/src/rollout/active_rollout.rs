//! One rollout, from the view of one instance.

use super::announcement::Announcement;
use super::decision::Decision;
use super::judge::{Assessment, Finding, Judge};
use super::order_id::OrderId;
use super::report::Report;
use super::resumption::Resumption;
use super::rule::{Reach, VersionRule};
use super::schedule::{ExposureLimit, Schedule};
use super::tally::{Tally, VersionTallies};
use super::version_capacity::VersionCapacity;
use crate::Time;
use crate::deployment::{Rollout, RolloutOrder, RolloutOutcome};
use crate::quota::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a successful rollout for which other versions get no requests: their backend servers
/// have stopped, but stay listed for some more seconds.
const STALE_LISTING_PERIOD: Duration = Duration::from_secs(10);

/// Time that a judge has to decide on the outcome before the next one does: by then its decision is
/// known to the others.
const JUDGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time by which an instance learns of an order after others, unless the link or its clock was
/// faulty. If the order is older than that, a judge observes the version again before it favors it.
const MAX_DELAY_OF_ORDER: Duration = Duration::from_secs(3);

/// Responses of the version that a judge needs after it resumed a rollout, before it decides in favor
/// of the version.
const MIN_RESUMED_RESPONSES: u32 = 10;

/// A change, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new order was received.
    Ordered,
    /// The rollout resumes after the start of this instance.
    Resumed {
        /// Time since the order.
        age: Duration,
        /// Whether the share had begun to grow.
        spreads: bool,
        /// The outcome that a judge had decided on.
        outcome: Option<RolloutOutcome>,
        /// The stored responses of the version; none if another instance announced the rollout.
        responses: Option<Tally>,
    },
    /// The share begins to grow.
    Spreads {
        /// Time since the order.
        age: Duration,
        /// The basis of the judge's decision; none if another instance announced it.
        assessment: Option<Assessment>,
    },
    /// A judge decided on the outcome.
    Decided {
        /// The outcome.
        outcome: RolloutOutcome,
        /// Time since the order.
        age: Duration,
        /// The basis of the judge's decision; none if another instance announced it.
        assessment: Option<Assessment>,
    },
    /// The store holds the final outcome.
    Settled(RolloutOutcome),
    /// The order was withdrawn.
    Withdrawn,
}

/// One rollout, from the view of one instance.
#[derive(Clone, Debug)]
pub(super) struct ActiveRollout {
    pub(super) id: OrderId,
    pub(super) order: RolloutOrder,
    pub(super) schedule: Schedule,
    pub(super) resumption: Resumption,
    /// The earliest time at which an instance is known to have learned of the order.
    pub(super) ordered_at: Time,
    /// When the share began to grow.
    pub(super) spreading_since: Option<Time>,
    /// When a judge last confirmed that the share grows.
    pub(super) confirmed_at: Time,
    pub(super) decision: Option<Decision>,
    /// The final outcome from the store, and when it was learned.
    pub(super) settled: Option<(RolloutOutcome, Time)>,
    /// Time of the last change that other instances may not know.
    pub(super) changed_at: Time,
    /// Responses that this instance has counted, by the hash of the route's name.
    pub(super) tallies: BTreeMap<u32, VersionTallies>,
    /// Requests in flight to backend servers of other versions.
    pub(super) others_in_flight: u32,
    pub(super) capacity: VersionCapacity,
    pub(super) judge: Judge,
    pub(super) reports: u32,
    pub(super) reported_at: Option<Time>,
    /// Bad responses of the version in the last report.
    reported_bad: u32,
    /// When this instance last began to write the outcome.
    pub(super) written_at: Option<Time>,
    /// Since when all instances are done, as far as this judge knows.
    all_done_since: Option<Time>,
    /// Whether this judge ended the growth of the share as the deadline was near.
    is_growth_cut_short: bool,
}

impl ActiveRollout {
    /// `resumption` tells whether requests are kept from the version until its progress is known.
    pub(super) fn new(
        rollout: &Rollout,
        exposure: ExposureLimit,
        resumption: Resumption,
        now: Time,
    ) -> Self {
        let order = rollout.order.clone();
        Self {
            id: OrderId::new(&order),
            schedule: Schedule { duration: order.duration, exposure },
            order,
            resumption,
            ordered_at: now,
            spreading_since: None,
            confirmed_at: now,
            decision: None,
            settled: rollout.outcome.map(|outcome| (outcome, now)),
            changed_at: now,
            tallies: BTreeMap::new(),
            others_in_flight: 0,
            capacity: VersionCapacity::default(),
            judge: Judge::default(),
            reports: 0,
            reported_at: None,
            reported_bad: 0,
            written_at: None,
            all_done_since: None,
            is_growth_cut_short: false,
        }
    }

    /// Time since the order.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.ordered_at)
    }

    /// The outcome, final or decided by a judge, if known.
    pub(super) fn outcome(&self) -> Option<RolloutOutcome> {
        self.settled.map(|(outcome, _)| outcome).or(self.decision.map(|decision| decision.outcome))
    }

    /// How requests are split between versions now; none if versions are not distinguished.
    pub(super) fn rule(&self, now: Time) -> Option<VersionRule> {
        let reach = match (self.outcome(), self.settled) {
            (Some(RolloutOutcome::RolledBack), _) => Reach::Nothing,
            (_, Some((_, since))) if now.since(since) > STALE_LISTING_PERIOD => return None,
            (Some(RolloutOutcome::Succeeded), _) => Reach::All,
            (None, _) if self.resumption.is_held => Reach::Nothing,
            (None, _) => {
                let spread_for = self.spreading_since.map(|at| now.since(at));
                let share = self.schedule.share(spread_for, now.since(self.confirmed_at));
                match spread_for {
                    Some(_) if share >= 1.0 => Reach::All,
                    Some(_) => Reach::Spreading(share),
                    None => Reach::Trial(share),
                }
            }
        };
        Some(VersionRule { target: self.order.target_version.clone(), reach })
    }

    /// Returns whether this instance sends all requests to the version and none to others is in
    /// flight.
    pub(super) fn is_done(&self, now: Time) -> bool {
        let has_all = self.rule(now).is_some_and(|rule| rule.reach == Reach::All);
        has_all && self.others_in_flight == 0
    }

    /// Returns whether this instance has counted bad responses of the version since its last report.
    pub(super) fn has_unreported_bad(&self) -> bool {
        self.counted_bad() > self.reported_bad
    }

    fn counted_bad(&self) -> u32 {
        self.tallies.values().map(|route| route.target.bad()).sum()
    }

    /// The reports for the judges: what this instance has counted, and the stored responses if this
    /// instance has read them.
    pub(super) fn next_reports(
        &mut self,
        member: MemberId,
        started_ms: u64,
        now: Time,
    ) -> impl Iterator<Item = Report> + use<> {
        self.reports += 1;
        self.reported_bad = self.counted_bad();
        let routes = self.tallies.iter().map(|(route, tallies)| (*route, *tallies)).collect();
        let (order, number, is_done) = (self.id, self.reports, self.is_done(now));
        let own = Report { order, member, started_ms, number, is_done, routes };
        std::iter::once(own).chain(self.resumption.earlier.clone())
    }

    /// Records the final outcome from the store.
    pub(super) fn settle(&mut self, outcome: Option<RolloutOutcome>, now: Time) -> Option<Change> {
        let outcome =
            outcome.filter(|new| self.settled.is_none_or(|(settled, _)| settled != *new))?;
        self.settled = Some((outcome, now));
        self.changed_at = now;
        Some(Change::Settled(outcome))
    }

    /// The announcement for other instances.
    pub(super) fn announcement(&self, now: Time) -> Announcement {
        let spreads = self.spreading_since.map(|at| (at, self.confirmed_at));
        Announcement::new(self.id, self.ordered_at, spreads, self.decision, now)
    }

    /// Merges the announcement of another instance.
    pub(super) fn merge(&mut self, announcement: &Announcement, now: Time) -> Vec<Change> {
        let ordered_at = announcement.ordered_at(now).max(now - self.order.duration);
        if self.ordered_at.since(ordered_at) > MAX_DELAY_OF_ORDER {
            self.resumption.observe_from(now);
        }
        self.ordered_at = self.ordered_at.min(ordered_at);
        let age = self.age(now);
        let mut changes = Vec::new();
        if self.resumption.release(now) {
            let spreads = announcement.spreads(now).is_some();
            let outcome = announcement.decision(now).map(|decision| decision.outcome);
            changes.push(Change::Resumed { age, spreads, outcome, responses: None });
        }
        if let Some((since, confirmed_at)) = announcement.spreads(now) {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
            if self.spreading_since.is_none() {
                changes.push(Change::Spreads { age, assessment: None });
            }
            self.spreading_since = Some(self.spreading_since.map_or(since, |at| at.min(since)));
        }
        if let Some(decision) = announcement.decision(now)
            && self.merge_decision(decision)
        {
            changes.push(Change::Decided { outcome: decision.outcome, age, assessment: None });
        }
        if !changes.is_empty() {
            self.changed_at = now;
        }
        changes
    }

    /// Records a decision unless it is known already: a rollback takes precedence over success.
    pub(super) fn merge_decision(&mut self, decision: Decision) -> bool {
        let decided = self.decision.map(|decision| decision.outcome);
        let is_new = match decision.outcome {
            RolloutOutcome::RolledBack => decided != Some(RolloutOutcome::RolledBack),
            RolloutOutcome::Succeeded => decided.is_none(),
        };
        if is_new {
            self.decision = Some(decision);
        }
        is_new
    }

    /// Returns whether the version may get all requests, by its capacity and the finding.
    fn can_take_all(&self, finding: Finding) -> bool {
        self.capacity.is_sufficient() && finding != Finding::Undecided { favorable: false }
    }

    /// Gives the version all requests if its share still grows; returns whether it did. Instances
    /// then finish their requests to other versions before the outcome is decided.
    fn complete_growth(&mut self, now: Time) -> bool {
        let grows = self.rule(now).is_some_and(|rule| matches!(rule.reach, Reach::Spreading(_)));
        if grows {
            self.spreading_since = Some(now - self.schedule.growth());
            self.is_growth_cut_short = true;
        }
        grows
    }

    /// Returns whether a judge that resumed the rollout has to observe the version before its next
    /// decision in favor of it: what happened before is known in part only.
    fn needs_observation(&self, finding: Finding, now: Time) -> bool {
        let Some(resumed_at) = self.resumption.resumed_at else { return false };
        let stage_since = self.spreading_since.map_or(resumed_at, |start| start.max(resumed_at));
        let is_recent = now.since(stage_since) < self.schedule.resumed_observation();
        let VersionTallies { target, others } = self.responses_since_start();
        let expected = self.schedule.exposure.trial_share() * f64::from(others.ended);
        let is_unanswered = expected >= f64::from(MIN_RESUMED_RESPONSES);
        if target.ended < MIN_RESUMED_RESPONSES && (is_recent || is_unanswered) {
            return true;
        }
        let is_decidable =
            finding == Finding::NotWorse || self.schedule.is_almost_over(self.age(now));
        self.spreading_since.is_some() && (is_recent || !is_decidable)
    }

    /// Responses that were reported to this judge, without the stored ones.
    pub(super) fn responses_since_start(&self) -> VersionTallies {
        let (_, totals) = self.judge.totals();
        totals - self.judge.stored_totals()
    }

    /// Decides as a judge on the next step. `all_done` is whether all instances are done; `rank`
    /// is the judge's rank, which delays its decision so that judges don't decide differently at
    /// the same time.
    pub(super) fn decide(&mut self, all_done: bool, rank: usize, now: Time) -> Option<Change> {
        self.judge.step();
        let finding = self.judge.finding();
        let is_worse = matches!(finding, Finding::Worse { .. });
        let is_open = match self.outcome() {
            None => true,
            // A version that turns bad before the store holds its success is rolled back
            // nevertheless.
            Some(RolloutOutcome::Succeeded) => is_worse && self.settled.is_none(),
            Some(RolloutOutcome::RolledBack) => false,
        };
        if !is_open || self.resumption.is_held {
            return None;
        }
        let age = self.age(now);
        let (reports, totals) = self.judge.totals();
        let observation = self.schedule.observation();
        self.all_done_since = all_done.then(|| self.all_done_since.unwrap_or(now));
        let is_observed = self.all_done_since.is_some_and(|at| now.since(at) >= observation);
        let assessment = Some(Assessment { finding, reports, totals, capacity: self.capacity });
        if self.spreading_since.is_some() {
            self.confirmed_at = now;
        }
        let delay = JUDGE_TIMEOUT * u32::try_from(rank).unwrap_or(u32::MAX);
        let must_decide = self.schedule.must_decide(age.saturating_sub(delay));
        let found = |outcome| Change::Decided { outcome, age, assessment };
        let change = match () {
            () if is_worse => found(RolloutOutcome::RolledBack),
            () if must_decide && !self.can_take_all(finding) => found(RolloutOutcome::RolledBack),
            () if !self.can_take_all(finding) || self.needs_observation(finding, now) => {
                return None;
            }
            () if self.spreading_since.is_none() => {
                if !self.schedule.may_start_spreading(age, finding == Finding::NotWorse) {
                    return None;
                }
                Change::Spreads { age, assessment }
            }
            () if is_observed => found(RolloutOutcome::Succeeded),
            () if !must_decide => return None,
            () if self.complete_growth(now) => Change::Spreads { age, assessment },
            () if all_done || !self.is_growth_cut_short || self.schedule.is_almost_over(age) => {
                found(RolloutOutcome::Succeeded)
            }
            () => return None,
        };
        match change {
            Change::Decided { outcome, .. } => {
                self.merge_decision(Decision { outcome, at: now });
            }
            _ => {
                self.spreading_since.get_or_insert(now);
                self.confirmed_at = now;
            }
        }
        self.changed_at = now;
        Some(change)
    }
}
