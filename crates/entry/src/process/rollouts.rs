//! Roll-outs, as one instance takes part in them: its timer, its datagrams and its lines.
//!
//! The decisions are [`RolloutTable`]'s.

use super::datagram::{self, Kind};
use super::instance::Instance;
use super::spreading::Topic;
use crate::error::StoreError;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::deployment::{RolloutOutcome, Rollouts};
use steering::rollout::{Assessment,Change, OutcomeWrite, StepActions};
use tokio::net::UdpSocket;

/// Time between two steps while a roll-out is under way: a third of that between two heartbeats, as what
/// is found late is found after many bad answers.
const STEP: Duration = Duration::from_millis(300);

/// Time between two looks whether there are orders.
const IDLE_STEP: Duration = Duration::from_secs(1);

/// What is told of roll-outs.
pub(super) struct RolloutAnnouncements;

impl Topic for RolloutAnnouncements {
    fn kind(&self) -> Kind {
        Kind::RolloutAnnouncements
    }

    fn has_fresh(&self, instance: &Instance) -> Option<bool> {
        instance.rollouts.borrow().has_recent_changes(instance.clock.now())
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.rollouts.borrow().encode_announcements(instance.clock.now())
    }
}

/// Does what is due, for as long as the process lives.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    let instance = instance.clone();
    tokio::task::spawn_local(async move {
        loop {
            let is_idle = instance.rollouts.borrow().is_empty();
            if !is_idle {
                step(&instance, &socket).await;
            }
            tokio::select! {
                () = tokio::time::sleep(if is_idle { IDLE_STEP } else { STEP }) => {}
                () = instance.rollouts_changed.notified() => {}
            }
        }
    });
}

async fn step(instance: &Rc<Instance>, socket: &UdpSocket) {
    let now = instance.clock.now();
    hear_room(instance);
    let StepActions { reports, writes, changes } = instance.rollouts.borrow_mut().step(now);
    changed(instance, &changes, "own");
    for (judge, report) in reports {
        let Some(address) = instance.quotas.address_of(judge) else { continue };
        // A datagram that can't be sent is as good as one that is lost.
        let _ = socket.send_to(&datagram::write(Kind::RolloutReports, &report), address).await;
    }
    for write in writes {
        tokio::task::spawn_local(settle(instance.clone(), write));
    }
    divide(instance, now);
}

/// Takes over the orders that the store holds.
pub(super) fn set_orders(instance: &Instance, orders: &Rollouts) {
    let now = instance.clock.now();
    let changes = instance.rollouts.borrow_mut().set_orders(orders, now);
    changed(instance, &changes, "store");
    divide(instance, now);
    instance.rollouts_changed.notify_one();
}

/// Takes over what another instance tells.
pub(super) fn hear_announcements(instance: &Instance, told: &[u8]) {
    let now = instance.clock.now();
    let changes = instance.rollouts.borrow_mut().merge_announcements(told, now);
    match changes {
        Some(changes) if changes.is_empty() => {}
        Some(changes) => {
            changed(instance, &changes, "instance");
            divide(instance, now);
        }
        None => log::warn!(target: "rollouts", bytes = told.len(); "announcements can't be read"),
    }
}

/// Takes over what another instance reports.
pub(super) fn hear_report(instance: &Instance, report: &[u8]) {
    if !instance.rollouts.borrow_mut().receive_report(report) {
        log::warn!(target: "rollouts", bytes = report.len(); "report can't be read");
    }
}

/// Takes over what room the versions have.
fn hear_room(instance: &Instance) {
    let mut rollouts = instance.rollouts.borrow_mut();
    let services: Vec<Arc<str>> = rollouts.services().cloned().collect();
    let roster = instance.roster.borrow();
    for service in services {
        rollouts.set_version_capacity(&service, roster.version_capacity(&service));
    }
}

/// Divides requests between versions as they are to be now.
fn divide(instance: &Instance, now: Time) {
    let rules = instance.rollouts.borrow().rules(now);
    instance.roster.borrow_mut().set_version_rules(rules);
}

/// Writes how a roll-out ended; what the store says of it comes as all that it tells.
async fn settle(instance: Rc<Instance>, OutcomeWrite { order, outcome }: OutcomeWrite) {
    let written = instance.store.settle(&order, outcome).await;
    let label = written.as_ref().map_or_else(StoreError::as_str, |_| "ok");
    instance.metrics.store_calls.with_label_values(&["rollout-end", label]).inc();
    let (service, target) = (&*order.service, &*order.target_version);
    match written {
        Ok(ended) => {
            let stored = ended.map_or("withdrawn", RolloutOutcome::as_str);
            let outcome = outcome.as_str();
            log::info!(target: "rollouts", service, target, outcome, stored; "written");
        }
        Err(error) => {
            let outcome = outcome.as_str();
            log::warn!(target: "rollouts", service, target, outcome, error:%; "not written");
        }
    }
}

/// Logs what changed, as was learned from `source`, and lets the others know.
fn changed(instance: &Instance, changes: &[(Arc<str>, Change)], source: &str) {
    for (service, change) in changes {
        log_change(service, change, source);
        let event = match change {
            Change::Ordered => "ordered",
            Change::Spreads { .. } => "spreads",
            Change::Found { outcome: RolloutOutcome::Succeeded, .. } => "found-brought-in",
            Change::Found { outcome: RolloutOutcome::TurnedBack, .. } => "found-worse",
            Change::Settled(outcome) => outcome.as_str(),
            Change::Withdrawn => "withdrawn",
        };
        instance.metrics.rollouts.with_label_values(&[event]).inc();
    }
    if !changes.is_empty() {
        instance.spread.notify_one();
    }
}

fn log_change(service: &str, change: &Change, source: &str) {
    match change {
        Change::Ordered => log::info!(target: "rollouts", service, source; "ordered"),
        Change::Spreads { age, assessment } => {
            let (age_s, weighed) = (age.as_secs_f64(), told(assessment.as_ref()));
            log::info!(target: "rollouts", service, source, age_s, weighed; "spreads");
        }
        Change::Found { outcome, age, assessment } => {
            let (age_s, weighed) = (age.as_secs_f64(), told(assessment.as_ref()));
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

/// What a judge went by; empty if another instance told.
fn told(weighed: Option<&Assessment>) -> String {
    weighed.map_or_else(String::new, ToString::to_string)
}
