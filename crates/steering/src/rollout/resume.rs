//! How a rollout resumes from the progress that the store keeps.
//!
//! An instance that finds an order soon after its start can't know whether other instances already
//! work on it: it keeps requests from the version until another instance announces the rollout, or
//! the stored progress was read. The judge that ranks first writes the progress at milestones.

use super::active_rollout::{ActiveRollout, Change};
use super::decision::Decision;
use super::judge;
use super::members::Members;
use super::progress::{Milestone, RolloutProgress};
use super::report::Report;
use crate::Time;
use crate::deployment::RolloutOrder;
use crate::quota::MemberId;
use std::time::Duration;

/// Mean interval at which instances begin to read the progress of the same order.
const READER_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between two synchronizations by one instance, longer than a call that fails.
const SYNC_INTERVAL: Duration = Duration::from_millis(1_200);

/// An order whose progress has to be read from the store, merged, and written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressSync {
    /// The order.
    pub order: RolloutOrder,
    /// What the store then holds at least.
    pub(super) milestone: Milestone,
}

impl ActiveRollout {
    /// Returns whether the progress has to be synchronized now: by any instance while the rollout
    /// is held, in a random order of the whole fleet, else by the judge that ranks first.
    pub(super) fn due_progress_sync(
        &mut self,
        own: MemberId,
        members: &Members,
        now: Time,
    ) -> Option<ProgressSync> {
        let milestone = self.milestone();
        let service = &self.order.service;
        let resumption = &mut self.resumption;
        let is_due = if resumption.is_held {
            let delay =
                members.expected_rank(service, own).map(|rank| READER_INTERVAL.mul_f64(rank));
            delay.is_some_and(|delay| now.since(resumption.learned_at) >= delay)
        } else {
            resumption.saved != Some(milestone) && members.judges(service).first() == Some(&own)
        };
        let may_sync = resumption.synced_at.is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
        if !is_due || !may_sync {
            return None;
        }
        resumption.synced_at = Some(now);
        Some(ProgressSync { order: self.order.clone(), milestone })
    }

    /// Records that the store holds the progress up to a milestone.
    pub(super) fn set_saved(&mut self, milestone: Milestone) {
        self.resumption.saved = Some(milestone);
    }

    /// Resumes from the progress that the store holds, none if it holds none; `unix_ms` is the time
    /// of day in milliseconds since the Unix epoch.
    pub(super) fn resume(
        &mut self,
        stored: Option<&RolloutProgress>,
        unix_ms: u64,
        now: Time,
    ) -> Option<Change> {
        let was_held = self.resumption.release(now);
        if was_held {
            // An announcement tells other instances that need not read the progress any more.
            self.changed_at = now;
        }
        let stored = stored?;
        let age = Duration::from_millis(unix_ms.saturating_sub(stored.first_seen_ms));
        let age = age.min(self.order.duration);
        if was_held {
            // Who saw the order arrive needs no time of day, which may be wrong on some machine.
            self.ordered_at = self.ordered_at.min(now - age);
        }
        let spreads = stored.spreads && self.spreading_since.is_none();
        if spreads {
            // The growth begins again: a version that turned bad meanwhile is detected early.
            self.spreading_since = Some(now);
            self.confirmed_at = now;
        }
        let outcome = stored.outcome;
        let is_decided =
            outcome.is_some_and(|outcome| self.merge_decision(Decision { outcome, at: now }));
        if was_held && !stored.routes.is_empty() {
            self.resumption.earlier = Some(self.earlier_report(stored));
        }
        if !(was_held || spreads || is_decided) {
            return None;
        }
        self.changed_at = now;
        Some(Change::Resumed {
            age: self.age(now),
            spreads: stored.spreads,
            outcome,
            responses: Some(stored.totals()),
        })
    }

    /// The progress as far as this instance knows it.
    pub(super) fn progress(&self, unix_ms: u64, now: Time) -> RolloutProgress {
        let age_ms = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        RolloutProgress {
            order: self.order.clone(),
            first_seen_ms: unix_ms.saturating_sub(age_ms),
            spreads: self.spreading_since.is_some(),
            outcome: self.outcome(),
            routes: self.judge.routes(),
        }
    }

    fn milestone(&self) -> Milestone {
        let spreads = self.spreading_since.is_some();
        Milestone::new(spreads, self.outcome(), self.responses_since_start().target)
    }

    fn earlier_report(&self, stored: &RolloutProgress) -> Report {
        Report {
            order: self.id,
            member: judge::stored_responses_id(),
            started_ms: 0,
            number: 1,
            is_done: false,
            routes: stored.routes.iter().map(|(route, tallies)| (*route, *tallies)).collect(),
        }
    }
}
