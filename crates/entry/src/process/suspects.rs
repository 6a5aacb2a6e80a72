//! Gossip about requests during which backend servers crashed.
//!
//! New reports go to a few instances at once, which forward them when they are urgent for them; known
//! ones are repeated with each heartbeat for instances that just started or lost a datagram.

use super::datagram::Kind;
use super::gossip_topics::Topic;
use super::instance::Instance;
use steering::suspects::Changes;

/// Gossip topic of requests suspected of crashing backend servers.
pub(super) struct SuspectRequests;

impl Topic for SuspectRequests {
    fn kind(&self) -> Kind {
        Kind::Suspects
    }

    fn has_recent_changes(&self, instance: &Instance) -> Option<bool> {
        if instance.suspects.borrow().is_empty() {
            return None;
        }
        let now = instance.clock.now();
        let expired = instance.suspects.borrow_mut().prune(now);
        publish_changes(instance, &expired, "age");
        Some(instance.suspects.borrow().has_recent_changes(now))
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.suspects.borrow().encode_message(&mut rand::rng(), instance.clock.now())
    }
}

/// Handles a message of another instance.
pub(super) fn receive(instance: &Instance, message: &[u8]) {
    let changes = instance.suspects.borrow_mut().merge_message(message, instance.clock.now());
    match changes {
        Some(changes) => publish_changes(instance, &changes, "instance"),
        None => log::warn!(target: "suspects", bytes = message.len(); "invalid message"),
    }
}

/// Logs and counts requests newly quarantined or released because of a report from `source`, and
/// gossips the changes at once if they are urgent.
pub(crate) fn publish_changes(instance: &Instance, changes: &Changes, source: &str) {
    let count = |event: &str| instance.metrics.suspects.with_label_values(&[event]).inc();
    for (fingerprint, crashes) in &changes.quarantined {
        count("held");
        log::warn!(target: "suspects", fingerprint:%, ended = crashes, source; "held back");
    }
    for fingerprint in &changes.released {
        count("released");
        log::warn!(target: "suspects", fingerprint:%, source; "released");
    }
    if changes.is_urgent {
        instance.urgent_gossip.notify_one();
    }
}
