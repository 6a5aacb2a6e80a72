//! Whether this instance reaches the backend servers: what it observes, says and checks.
//!
//! [`Reach`](steering::reach::Reach) makes the decisions.

use super::datagram::Kind;
use super::gossip_topics::Topic;
use super::held_failures::HeldFailure;
use super::instance::Instance;
use std::sync::Arc;
use std::time::Instant;
use steering::placement::roster::demand_key;
use steering::placement::{Ending, Incarnation};
use steering::reach::reports::Unreached;
use steering::reach::{Change, ChangeKind, FailedServer, Failure};

/// Gossip topic of the instances that reach no backend servers.
pub(super) struct ReachOfInstances;

impl Topic for ReachOfInstances {
    fn kind(&self) -> Kind {
        Kind::Reach
    }

    fn has_recent_changes(&self, instance: &Instance) -> Option<bool> {
        let now = Instant::now();
        let own = instance.start_id();
        let reports = &mut instance.peers.borrow_mut().reach;
        reports.refresh(own, now);
        reports.has_recent_changes(now)
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.peers.borrow().reach.encode(&mut rand::rng())
    }
}

/// Handles a message of another instance.
pub(super) fn receive(instance: &Instance, message: &[u8]) {
    let own = instance.start_id();
    let now = Instant::now();
    let merged = instance.peers.borrow_mut().reach.merge(own, message, now);
    match merged {
        Some(0) => {}
        Some(changed) => {
            let cut_off = instance.peers.borrow().reach.cut_off_count(now);
            log::info!(target: "reach", changed, cut_off; "other instances' reach changed");
            instance.urgent_gossip.notify_one();
        }
        None => log::warn!(target: "reach", bytes = message.len(); "invalid message"),
    }
}

/// Records a response over a connection of this instance, the first one if the connection is new.
pub(crate) fn record_response(instance: &Instance, service: &Arc<str>, is_connection_new: bool) {
    let now = Instant::now();
    let changes = {
        let mut reach = instance.reach.borrow_mut();
        let mut changes = reach.record_response(service, now);
        if is_connection_new {
            changes.extend(reach.record_first_response(service, now));
        }
        changes
    };
    let is_explained = |failure: &HeldFailure| is_connection_new || !failure.is_connection_new;
    count_held_failures(instance, is_explained, |ending| ending);
    publish(instance, &changes);
}

/// Records that a backend server was not reached by what began at `since`, and checks others soon.
pub(crate) fn record_failure(
    instance: &Instance,
    service: &Arc<str>,
    server: &Incarnation,
    failure: Failure,
    since: Instant,
) {
    let now = Instant::now();
    let (counts, is_elsewhere) = {
        let roster = instance.roster.borrow();
        (roster.server_counts(service), roster.is_elsewhere(server))
    };
    let failed = FailedServer { service, id: server, is_elsewhere };
    let changes = instance.reach.borrow_mut().record_failure(failed, failure, since, counts, now);
    log::debug!(
        target: "reach", service = &**service, server = &*server.id, failure = failure.as_str();
        "backend server not reached"
    );
    publish(instance, &changes);
    instance.reach_unclear.notify_one();
}

/// Records that another instance could not connect to a backend server either.
pub(crate) fn record_failed_server(instance: &Instance, service: &Arc<str>, server: &Incarnation) {
    let now = Instant::now();
    let changes = instance.reach.borrow_mut().record_failed_server(service, server, now);
    publish(instance, &changes);
}

/// Forgets the failures of backend servers that are no longer listed.
pub(super) fn retain_listed(instance: &Instance) {
    let changes = {
        let roster = instance.roster.borrow();
        let is_listed = |server: &Incarnation| roster.is_listed(server);
        instance.reach.borrow_mut().retain_servers(is_listed, Instant::now())
    };
    publish(instance, &changes);
}

/// Starts checks if requests to backend servers have been under way for conspicuously long without
/// any response.
pub(crate) fn check_silence(instance: &Instance, service: &str) {
    let mean_response_time = instance.roster.borrow().mean_response_time(service);
    if instance.reach.borrow().has_drought(mean_response_time, Instant::now()) {
        instance.reach_unclear.notify_one();
    }
}

/// Completes when backend servers of a service are found not to be reached.
pub(crate) async fn wait_until_cut_off(instance: &Instance, service: &str) {
    let mut losses = instance.reach_losses.subscribe();
    loop {
        // The sender lives as long as the instance.
        if losses.changed().await.is_err() {
            return std::future::pending().await;
        }
        if instance.reach.borrow().is_cut_off(service) {
            return;
        }
    }
}

/// Counts those of the failures held for roll-outs that `is_explained` selects, with the ending that
/// `ending` makes of theirs.
fn count_held_failures(
    instance: &Instance,
    is_explained: impl Fn(&HeldFailure) -> bool,
    ending: impl Fn(Ending) -> Ending,
) {
    let explained = instance.held_failures.borrow_mut().take(is_explained);
    for HeldFailure { order, is_target, route, mut observation, .. } in explained {
        observation.ending = ending(observation.ending);
        let mut rollouts = instance.rollouts.borrow_mut();
        rollouts.record_ending(order, is_target, &route, &observation);
    }
}

/// Logs changes, applies them, and tells other instances.
fn publish(instance: &Instance, changes: &[Change]) {
    if changes.is_empty() {
        return;
    }
    let now = Instant::now();
    for Change { service, kind, is_lost, failed, after } in changes {
        let scope = service.as_deref();
        let event = if *is_lost { "lost" } else { "regained" };
        instance.metrics.reach.with_label_values(&[event, kind.as_str()]).inc();
        let after_ms = after.map_or(0, |after| u64::try_from(after.as_millis()).unwrap_or(0));
        let scope_name = scope.unwrap_or("(all)");
        if !*is_lost {
            let kind = kind.as_str();
            log::warn!(target: "reach", service = scope_name, kind, after_ms; "reached again");
            continue;
        }
        let names: Vec<&str> = failed.iter().map(|server| &*server.id).collect();
        log::warn!(
            target: "reach", service = scope_name, kind = kind.as_str(), failed = names.join(","),
            last_success_ms = after_ms;
            "no backend server is reached"
        );
        match kind {
            ChangeKind::Connections => {
                count_held_failures(instance, |held| held.is_connection_new, |_| Ending::Unsent);
            }
            ChangeKind::Exchanges => {
                instance.roster.borrow_mut().forgive_failures(scope, now);
                count_held_failures(instance, |_| true, |_| Ending::Unsent);
                instance.reach_losses.send_modify(|losses| *losses += 1);
            }
        }
    }
    report_own(instance, now);
}

/// Tells other instances if what this one reaches has changed.
fn report_own(instance: &Instance, now: Instant) {
    let unreached = {
        let reach = instance.reach.borrow();
        if reach.is_cut_off_from_all() {
            Unreached::All
        } else {
            Unreached::of_services(reach.lost_services().map(|name| demand_key(name)).collect())
        }
    };
    let own = instance.start_id();
    if instance.peers.borrow_mut().reach.set_own(own, unreached, now) {
        instance.urgent_gossip.notify_one();
    }
}
