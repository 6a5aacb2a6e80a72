//! Conditions that backend servers report in their responses, and gossip about them.

use super::datagram::Kind;
use super::gossip_topics::Topic;
use super::instance::Instance;
use std::time::{Duration, Instant};
use steering::placement::{Condition, ConditionChange, Incarnation, RateLimitUsage};

/// Most backend servers with a limit that are logged in one round.
const MAX_LIMITED_LINES: usize = 20;

/// Gossip topic of the conditions of backend servers.
pub(super) struct Conditions;

impl Topic for Conditions {
    fn kind(&self) -> Kind {
        Kind::Conditions
    }

    fn has_recent_changes(&self, instance: &Instance) -> Option<bool> {
        instance.roster.borrow().has_recent_conditions(Instant::now())
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.roster.borrow().encode_conditions(&mut rand::rng(), Instant::now())
    }
}

/// Records the condition reported in the response to a request.
pub(crate) fn record_condition(
    instance: &Instance,
    server: &Incarnation,
    reported: Condition,
    request_id: Option<&str>,
) {
    record(instance, server, reported, "own", request_id);
}

/// Records the remaining backoff of a backend server, as told by an instance that didn't relay a request.
pub(crate) fn record_backoff_of_relay(
    instance: &Instance,
    server: &Incarnation,
    left: Duration,
    request_id: Option<&str>,
) {
    let reported = Condition { backoff: Some(left), ..Condition::default() };
    record(instance, server, reported, "relay", request_id);
}

fn record(
    instance: &Instance,
    server: &Incarnation,
    reported: Condition,
    source: &str,
    request_id: Option<&str>,
) {
    let changes = instance.roster.borrow_mut().record_condition(server, reported, Instant::now());
    for change in &changes {
        log_change(instance, &server.id, *change, source, request_id.unwrap_or(""));
    }
    gossip_changes(instance, changes.iter());
}

/// Handles a message of another instance.
pub(super) fn receive(instance: &Instance, message: &[u8]) {
    let Some(changes) = instance.roster.borrow_mut().merge_conditions(message, Instant::now())
    else {
        log::warn!(target: "backend-server", bytes = message.len(); "invalid conditions");
        return;
    };
    for (id, change) in &changes {
        log_change(instance, id, *change, "instance", "");
    }
    gossip_changes(instance, changes.iter().map(|(_, change)| change));
}

/// Gossips changes at once; a requested backoff concerns this instance only.
fn gossip_changes<'a>(instance: &Instance, changes: impl Iterator<Item = &'a ConditionChange>) {
    let mut shared =
        changes.filter(|change| !matches!(change, ConditionChange::BackoffRequested(_)));
    if shared.next().is_some() {
        instance.urgent_gossip.notify_one();
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
            log::info!(target: "backend-server", id, source, request; "is leaving");
            "leaves"
        }
        ConditionChange::BackoffRequested(backoff) => {
            let rest_s = backoff.as_secs_f64();
            log::info!(target: "backend-server", id, rest_s, source, request; "requested a backoff");
            "wants-rest"
        }
    };
    instance.metrics.conditions.with_label_values(&[event]).inc();
}

/// Logs how many requests were sent to backend servers that report a limit.
pub(super) fn log_limited(instance: &Instance) {
    let limited = instance.roster.borrow_mut().take_limited_requests(Instant::now());
    for usage in limited.into_iter().take(MAX_LIMITED_LINES) {
        let RateLimitUsage { id, per_s, sent, reported_ago, role, known_instances } = usage;
        let told_ago_s = reported_ago.as_secs_f64();
        log::info!(
            target: "backend-server", id = &*id, per_s, sent, told_ago_s, role = role.as_str(),
            instances = known_instances;
            "requests sent under a limit"
        );
    }
}
