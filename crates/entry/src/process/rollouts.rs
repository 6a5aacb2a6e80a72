//! This instance's part in roll-outs: timer, datagrams and log lines.
//!
//! [`RolloutTable`](steering::rollout::RolloutTable) makes the decisions.

use super::clock::Clock;
use super::datagram::{self, Kind};
use super::gossip_topics::Topic;
use super::instance::Instance;
use crate::error::StoreError;
use crate::platform_api::StoredProgress;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::deployment::{RolloutOutcome, Rollouts};
use steering::rollout::{Assessment, Change, OutcomeWrite, ProgressSync, StepActions};
use tokio::net::UdpSocket;

/// Interval between steps while a roll-out is under way: a third of the heartbeat interval, as a late
/// verdict lets more bad responses through.
const STEP_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which the task checks for roll-outs while there are none.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Gossip topic of the roll-outs' progress.
pub(super) struct RolloutAnnouncements;

impl Topic for RolloutAnnouncements {
    fn kind(&self) -> Kind {
        Kind::RolloutAnnouncements
    }

    fn has_recent_changes(&self, instance: &Instance) -> Option<bool> {
        instance.rollouts.borrow().has_recent_changes(instance.clock.now())
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.rollouts.borrow().encode_announcements(instance.clock.now())
    }
}

/// Starts the task that advances roll-outs for the lifetime of the process.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    let instance = instance.clone();
    tokio::task::spawn_local(async move {
        loop {
            note_unknown_orders(&instance);
            let is_idle = instance.rollouts.borrow().is_empty();
            if !is_idle {
                step(&instance, &socket).await;
            }
            tokio::select! {
                () = tokio::time::sleep(if is_idle { IDLE_INTERVAL } else { STEP_INTERVAL }) => {}
                () = instance.rollouts_changed.notified() => {}
            }
        }
    });
}

/// Tells the table while no list of orders has arrived since the start.
fn note_unknown_orders(instance: &Instance) {
    if instance.replica.borrow().rollouts.as_of == 0 {
        instance.rollouts.borrow_mut().set_orders_unknown(instance.clock.now());
    }
}

async fn step(instance: &Rc<Instance>, socket: &UdpSocket) {
    let now = instance.clock.now();
    update_capacities(instance);
    let StepActions { reports, writes, syncs, changes } = instance.rollouts.borrow_mut().step(now);
    publish_changes(instance, &changes, "own");
    for (judge, report) in reports {
        let Some(address) = instance.quotas.address_of(judge) else { continue };
        // A datagram that can't be sent counts as lost.
        let _ = socket.send_to(&datagram::encode(Kind::RolloutReports, &report), address).await;
    }
    for sync in syncs {
        tokio::task::spawn_local(sync_progress(instance.clone(), sync));
    }
    for write in writes {
        tokio::task::spawn_local(write_outcome(instance.clone(), write));
    }
    apply_version_rules(instance, now);
}

/// Replaces the orders by those in the store.
pub(super) fn set_orders(instance: &Instance, orders: &Rollouts) {
    let now = instance.clock.now();
    let changes = instance.rollouts.borrow_mut().set_orders(orders, now);
    publish_changes(instance, &changes, "store");
    apply_version_rules(instance, now);
    instance.rollouts_changed.notify_one();
}

/// Handles announcements of another instance.
pub(super) fn receive_announcements(instance: &Instance, message: &[u8]) {
    let now = instance.clock.now();
    let changes = instance.rollouts.borrow_mut().merge_announcements(message, now);
    match changes {
        Some(changes) if changes.is_empty() => {}
        Some(changes) => {
            publish_changes(instance, &changes, "instance");
            apply_version_rules(instance, now);
        }
        None => log::warn!(target: "rollouts", bytes = message.len(); "invalid announcements"),
    }
}

/// Handles a report of another instance.
pub(super) fn receive_report(instance: &Instance, report: &[u8]) {
    if !instance.rollouts.borrow_mut().receive_report(report) {
        log::warn!(target: "rollouts", bytes = report.len(); "invalid report");
    }
}

/// Updates the capacities of the versions from the roster.
fn update_capacities(instance: &Instance) {
    let mut rollouts = instance.rollouts.borrow_mut();
    let services: Vec<Arc<str>> = rollouts.services().cloned().collect();
    let roster = instance.roster.borrow();
    for service in services {
        rollouts.set_version_capacity(&service, roster.version_capacity(&service));
    }
}

/// Applies the present rules for the division of requests between versions.
fn apply_version_rules(instance: &Instance, now: Time) {
    let rules = instance.rollouts.borrow().rules(now);
    instance.roster.borrow_mut().set_version_rules(rules);
}

/// Resumes a roll-out from the progress that the store holds, and writes what it doesn't hold yet; the
/// next step tries again what fails.
async fn sync_progress(instance: Rc<Instance>, sync: ProgressSync) {
    let (service, target) = (&*sync.order.service, &*sync.order.target_version);
    let read = instance.store.read_rollout_progress(&sync.order).await;
    count_call(&instance, "rollout-progress-read", &read);
    let StoredProgress { progress: stored, revision } = match read {
        Ok(read) => read,
        Err(error) => {
            log::warn!(target: "rollouts", service, target, error:%; "progress not read");
            return;
        }
    };
    let now = instance.clock.now();
    let unix_ms = Clock::unix_ms();
    let (progress, change) =
        instance.rollouts.borrow_mut().resume(&sync, stored.as_ref(), unix_ms, now);
    let changes: Vec<_> =
        change.into_iter().map(|change| (sync.order.service.clone(), change)).collect();
    publish_changes(&instance, &changes, "store");
    apply_version_rules(&instance, now);
    // Other instances hold the roll-out until it is announced.
    instance.urgent_gossip.notify_one();
    if let Some(progress) = progress {
        let written = instance.store.write_rollout_progress(&progress, revision).await;
        count_call(&instance, "rollout-progress-write", &written);
        if let Err(error) = written {
            log::warn!(target: "rollouts", service, target, error:%; "progress not written");
            return;
        }
        let responses = progress.totals();
        log::info!(target: "rollouts", service, target, responses:%; "progress written");
    }
    instance.rollouts.borrow_mut().set_synced(&sync);
}

/// Counts a call to the store by its outcome.
fn count_call<T>(instance: &Instance, call: &str, result: &Result<T, StoreError>) {
    let label = result.as_ref().map_or_else(StoreError::as_str, |_| "ok");
    instance.metrics.store_calls.with_label_values(&[call, label]).inc();
}

/// Writes the outcome of a roll-out to the store; the stored outcome arrives by the watch as usual.
async fn write_outcome(instance: Rc<Instance>, OutcomeWrite { order, outcome }: OutcomeWrite) {
    let written = instance.store.write_rollout_outcome(&order, outcome).await;
    count_call(&instance, "rollout-end", &written);
    let (service, target) = (&*order.service, &*order.target_version);
    match written {
        Ok(stored_outcome) => {
            let stored = stored_outcome.map_or("withdrawn", RolloutOutcome::as_str);
            let outcome = outcome.as_str();
            log::info!(target: "rollouts", service, target, outcome, stored; "outcome written");
        }
        Err(error) => {
            let outcome = outcome.as_str();
            log::warn!(target: "rollouts", service, target, outcome, error:%; "outcome not written");
        }
    }
}

/// Logs and counts changes learned from `source`, and gossips them at once.
fn publish_changes(instance: &Instance, changes: &[(Arc<str>, Change)], source: &str) {
    for (service, change) in changes {
        log_change(service, change, source);
        let event = match change {
            Change::Ordered => "ordered",
            Change::Resumed { .. } => "resumed",
            Change::Spreads { .. } => "spreads",
            Change::Decided { outcome: RolloutOutcome::Succeeded, .. } => "found-brought-in",
            Change::Decided { outcome: RolloutOutcome::RolledBack, .. } => "found-worse",
            Change::Settled(outcome) => outcome.as_str(),
            Change::Withdrawn => "withdrawn",
        };
        instance.metrics.rollouts.with_label_values(&[event]).inc();
    }
    if !changes.is_empty() {
        instance.urgent_gossip.notify_one();
    }
}

fn log_change(service: &str, change: &Change, source: &str) {
    match change {
        Change::Ordered => log::info!(target: "rollouts", service, source; "ordered"),
        Change::Resumed { age, spreads, outcome, responses } => {
            let age_s = age.as_secs_f64();
            let outcome = outcome.map_or("none", RolloutOutcome::as_str);
            let responses = responses.map_or_else(String::new, |responses| responses.to_string());
            log::info!(
                target: "rollouts", service, source, age_s, spreads, outcome, responses;
                "resumed"
            );
        }
        Change::Spreads { age, assessment } => {
            let (age_s, weighed) = (age.as_secs_f64(), format_evidence(assessment.as_ref()));
            log::info!(target: "rollouts", service, source, age_s, weighed; "version spreads");
        }
        Change::Decided { outcome, age, assessment } => {
            let (age_s, weighed) = (age.as_secs_f64(), format_evidence(assessment.as_ref()));
            let outcome = outcome.as_str();
            log::info!(target: "rollouts", service, source, age_s, outcome, weighed; "found");
        }
        Change::Settled(outcome) => {
            let outcome = outcome.as_str();
            log::info!(target: "rollouts", service, source, outcome; "settled");
        }
        Change::Withdrawn => log::info!(target: "rollouts", service, source; "withdrawn"),
    }
}

/// Formats the evidence behind a judge's decision; empty if it came from another instance.
fn format_evidence(assessment: Option<&Assessment>) -> String {
    assessment.map_or_else(String::new, ToString::to_string)
}
