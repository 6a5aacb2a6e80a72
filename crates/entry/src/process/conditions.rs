//! What backend servers say of their condition in answers.

use super::datagram::Kind;
use super::instance::Instance;
use super::spreading::Topic;
use std::time::Instant;
use steering::placement::{Condition, ConditionChange, Incarnation, Limited};

/// Backend servers with a limit that are told of in one round of lines.
const MOST_LIMITED_LINES: usize = 20;

/// What is told of them.
pub(super) struct Conditions;

impl Topic for Conditions {
    fn kind(&self) -> Kind {
        Kind::Conditions
    }

    fn has_fresh(&self, instance: &Instance) -> Option<bool> {
        instance.roster.borrow().has_recent_conditions(Instant::now())
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.roster.borrow().encode_conditions(&mut rand::rng(), Instant::now())
    }
}

/// Takes over what the answer to a request says.
pub(crate) fn told(
    instance: &Instance,
    server: &Incarnation,
    said: Condition,
    request_id: Option<&str>,
) {
    let changes = instance.roster.borrow_mut().record_condition(server, said, Instant::now());
    for change in &changes {
        log_change(instance, &server.id, *change, "own", request_id.unwrap_or(""));
    }
    spread(instance, changes.iter());
}

/// Takes over what another instance tells.
pub(super) fn hear(instance: &Instance, told: &[u8]) {
    let Some(changes) = instance.roster.borrow_mut().merge_conditions(told, Instant::now()) else {
        log::warn!(target: "backend-server", bytes = told.len(); "conditions can't be read");
        return;
    };
    for (id, change) in &changes {
        log_change(instance, id, *change, "instance", "");
    }
    spread(instance, changes.iter().map(|(_, change)| change));
}

/// Lets the others know at once of what they don't know.
fn spread<'a>(instance: &Instance, changes: impl Iterator<Item = &'a ConditionChange>) {
    let mut for_all =
        changes.filter(|change| !matches!(change, ConditionChange::BackoffRequested(_)));
    if for_all.next().is_some() {
        instance.spread.notify_one();
    }
}

fn log_change(instance: &Instance, id: &str, change: ConditionChange, source: &str, request: &str) {
    let event = match change {
        ConditionChange::Limited(before, per_s) => {
            let before_per_s = before.unwrap_or(0.0);
            log::info!(target: "backend-server", id, per_s, before_per_s, source, request; "limited");
            "limited"
        }
        ConditionChange::Unlimited(before_per_s) => {
            log::info!(target: "backend-server", id, before_per_s, source, request; "not limited");
            "not-limited"
        }
        ConditionChange::Leaving => {
            log::info!(target: "backend-server", id, source, request; "leaves");
            "leaves"
        }
        ConditionChange::BackoffRequested(rest) => {
            let rest_s = rest.as_secs_f64();
            log::info!(target: "backend-server", id, rest_s, source, request; "wants rest");
            "wants-rest"
        }
    };
    instance.metrics.conditions.with_label_values(&[event]).inc();
}

/// Tells what was sent to backend servers that name a limit.
pub(super) fn log_limited(instance: &Instance) {
    let limited = instance.roster.borrow_mut().take_limited_requests(Instant::now());
    for Limited { id, per_s, sent, told_ago } in limited.into_iter().take(MOST_LIMITED_LINES) {
        let told_ago_s = told_ago.as_secs_f64();
        log::info!(target: "backend-server", id = &*id, per_s, sent, told_ago_s; "sent to while limited");
    }
}
