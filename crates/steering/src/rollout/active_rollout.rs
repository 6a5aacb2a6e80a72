//! One roll-out, as an instance takes part in it.

use super::announcement::Announcement;
use super::decision::Ruling;
use super::judge::{Assessment, Finding, Judge};
use super::order_id::OrderId;
use super::rule::{Reach, VersionRule};
use super::schedule::{ExposureLimit, Schedule};
use super::tally::VersionTallies;
use super::version_capacity::VersionCapacity;
use crate::Time;
use crate::deployment::{Rollout, RolloutOrder, RolloutOutcome};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a version was brought in for which other versions get nothing: their backend servers
/// have stopped, and are listed for some seconds more.
const OTHERS_LISTED: Duration = Duration::from_secs(10);

/// Time that a judge has to end a roll-out in time before the next one does: what it found is known to
/// the others by then.
const JUDGE_PATIENCE: Duration = Duration::from_millis(400);

/// Something that changed, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An order is new.
    Ordered,
    /// The share begins to grow.
    Spreads {
        /// Time since the order.
        age: Duration,
        /// What the judge went by; none if another instance told.
        assessment: Option<Assessment>,
    },
    /// It is found how the roll-out is to end.
    Found {
        /// How it is to end.
        outcome: RolloutOutcome,
        /// Time since the order.
        age: Duration,
        /// What the judge went by; none if another instance told.
        assessment: Option<Assessment>,
    },
    /// The store says how it ended.
    Settled(RolloutOutcome),
    /// The order was taken back.
    Withdrawn,
}

/// One roll-out, as an instance takes part in it.
#[derive(Clone, Debug)]
pub(super) struct UnderWay {
    pub(super) id: OrderId,
    pub(super) order: RolloutOrder,
    schedule: Schedule,
    /// The earliest time at which an instance is known to have learned of the order.
    pub(super) ordered_at: Time,
    /// Since when the share grows.
    pub(super) spread_at: Option<Time>,
    /// When a judge said last that it does.
    pub(super) confirmed_at: Time,
    pub(super) ruling: Option<Ruling>,
    /// What the store says of its end, and since when that is known.
    pub(super) settled: Option<(RolloutOutcome, Time)>,
    /// When something became known last that others may not know.
    pub(super) changed_at: Time,
    /// What this instance has counted, by the hash of the route's name.
    pub(super) counted: BTreeMap<u32, VersionTallies>,
    /// Requests under way to backend servers of other versions.
    pub(super) others_in_flight: u32,
    pub(super) capacity: VersionCapacity,
    pub(super) judge: Judge,
    pub(super) reports: u32,
    pub(super) reported_at: Option<Time>,
    /// When this instance began to write how it ended last.
    pub(super) written_at: Option<Time>,
}

impl UnderWay {
    pub(super) fn new(rollout: &Rollout, terms: ExposureLimit, now: Time) -> Self {
        let order = rollout.order.clone();
        Self {
            id: OrderId::new(&order),
            schedule: Schedule { duration: order.duration, terms },
            order,
            ordered_at: now,
            spread_at: None,
            confirmed_at: now,
            ruling: None,
            settled: rollout.outcome.map(|outcome| (outcome, now)),
            changed_at: now,
            counted: BTreeMap::new(),
            others_in_flight: 0,
            capacity: VersionCapacity::default(),
            judge: Judge::default(),
            reports: 0,
            reported_at: None,
            written_at: None,
        }
    }

    /// Time since the order.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.ordered_at)
    }

    /// How it ended or is to end, as far as that is known.
    pub(super) fn outcome(&self) -> Option<RolloutOutcome> {
        self.settled.map(|(outcome, _)| outcome).or(self.ruling.map(|ruling| ruling.outcome))
    }

    /// How requests are divided now; none if all versions are alike.
    pub(super) fn rule(&self, now: Time) -> Option<VersionRule> {
        let reach = match (self.outcome(), self.settled) {
            (Some(RolloutOutcome::RolledBack), _) => Reach::Nothing,
            (_, Some((_, since))) if now.since(since) > OTHERS_LISTED => return None,
            (Some(RolloutOutcome::Succeeded), _) => Reach::All,
            (None, _) => {
                let spread_for = self.spread_at.map(|at| now.since(at));
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

    /// Tells whether this instance gives all requests to the version and none is under way to others.
    pub(super) fn is_done(&self, now: Time) -> bool {
        let has_all = self.rule(now).is_some_and(|rule| rule.reach == Reach::All);
        has_all && self.others_in_flight == 0
    }

    /// Takes over what the store says of its end.
    pub(super) fn settle(&mut self, outcome: Option<RolloutOutcome>, now: Time) -> Option<Change> {
        let outcome = outcome.filter(|it| self.settled.is_none_or(|(known, _)| known != *it))?;
        self.settled = Some((outcome, now));
        self.changed_at = now;
        Some(Change::Settled(outcome))
    }

    /// What others are told.
    pub(super) fn announcement(&self, now: Time) -> Announcement {
        let spreads = self.spread_at.map(|at| (at, self.confirmed_at));
        Announcement::new(self.id, self.ordered_at, spreads, self.ruling, now)
    }

    /// Takes over what another instance tells.
    pub(super) fn hear(&mut self, announcement: &Announcement, now: Time) -> Vec<Change> {
        self.ordered_at = self.ordered_at.min(announcement.ordered_at(now));
        let age = self.age(now);
        let mut changes = Vec::new();
        if let Some((since, confirmed_at)) = announcement.spreads(now) {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
            if self.spread_at.is_none() {
                changes.push(Change::Spreads { age, assessment: None });
            }
            self.spread_at = Some(self.spread_at.map_or(since, |at| at.min(since)));
        }
        if let Some(ruling) = announcement.ruling(now)
            && self.take_ruling(ruling)
        {
            changes.push(Change::Found { outcome: ruling.outcome, age, assessment: None });
        }
        if !changes.is_empty() {
            self.changed_at = now;
        }
        changes
    }

    /// Takes over how it is to end: that a version is worse goes before that it was brought in.
    fn take_ruling(&mut self, ruling: Ruling) -> bool {
        let known = self.ruling.map(|ruling| ruling.outcome);
        let is_news = match ruling.outcome {
            RolloutOutcome::RolledBack => known != Some(RolloutOutcome::RolledBack),
            RolloutOutcome::Succeeded => known.is_none(),
        };
        if is_news {
            self.ruling = Some(ruling);
        }
        is_news
    }

    /// Tells whether the version could run all requests, by what is found of it.
    fn may_have_all(&self, finding: Finding) -> bool {
        self.capacity.is_sufficient() && finding != Finding::Undecided { favorable: false }
    }

    /// Decides as a judge what comes next, `all_done` telling whether all instances are; `place` is its
    /// own among the judges, who should not end a roll-out differently at the same time.
    pub(super) fn decide(&mut self, all_done: bool, place: usize, now: Time) -> Option<Change> {
        self.judge.step();
        let finding = self.judge.finding();
        let is_worse = matches!(finding, Finding::Worse { .. });
        let is_open = match self.outcome() {
            None => true,
            // What turns bad before the store says that it was brought in is turned back all the same.
            Some(RolloutOutcome::Succeeded) => is_worse && self.settled.is_none(),
            Some(RolloutOutcome::RolledBack) => false,
        };
        if !is_open {
            return None;
        }
        let age = self.age(now);
        let (reports, seen) = self.judge.seen();
        let assessment = Some(Assessment { finding, reports, seen, capacity: self.capacity });
        if self.spread_at.is_some() {
            self.confirmed_at = now;
        }
        let patience = JUDGE_PATIENCE * u32::try_from(place).unwrap_or(u32::MAX);
        let must_settle = self.schedule.must_settle(age.saturating_sub(patience));
        let found = |outcome| Change::Found { outcome, age, assessment };
        let change = match () {
            () if is_worse => found(RolloutOutcome::RolledBack),
            () if must_settle && !self.may_have_all(finding) => found(RolloutOutcome::RolledBack),
            () if !self.may_have_all(finding) => return None,
            () if self.spread_at.is_none() => {
                if !self.schedule.may_spread(age, finding == Finding::NotWorse) {
                    return None;
                }
                Change::Spreads { age, assessment }
            }
            () if all_done || must_settle => found(RolloutOutcome::Succeeded),
            () => return None,
        };
        match change {
            Change::Found { outcome, .. } => {
                self.take_ruling(Ruling { outcome, at: now });
            }
            _ => {
                self.spread_at = Some(now);
                self.confirmed_at = now;
            }
        }
        self.changed_at = now;
        Some(change)
    }
}
