//! Requests under which backend servers ended, as instances tell each other of them.
//!
//! What is new goes to a few others at once, who pass it on as soon as it matters to them; what is
//! known goes along with heartbeats, for those that started or lost a datagram.

use super::datagram::Kind;
use super::instance::Instance;
use super::spreading::Topic;
use steering::suspects::Changes;

/// What is told of them.
pub(super) struct Suspicions;

impl Topic for Suspicions {
    fn kind(&self) -> Kind {
        Kind::Suspects
    }

    fn has_fresh(&self, instance: &Instance) -> Option<bool> {
        if instance.suspects.borrow().is_empty() {
            return None;
        }
        let now = instance.clock.now();
        let forgotten = instance.suspects.borrow_mut().prune(now);
        changed(instance, &forgotten, "age");
        Some(instance.suspects.borrow().has_fresh(now))
    }

    fn message(&self, instance: &Instance) -> Option<Vec<u8>> {
        instance.suspects.borrow().tell(&mut rand::rng(), instance.clock.now())
    }
}

/// Takes over what another instance tells.
pub(super) fn hear(instance: &Instance, told: &[u8]) {
    let changes = instance.suspects.borrow_mut().hear(told, instance.clock.now());
    match changes {
        Some(changes) => changed(instance, &changes, "instance"),
        None => log::warn!(target: "suspects", bytes = told.len(); "can't be read"),
    }
}

/// Logs what is held back or released from now on, by what was learned from `source`, and lets the
/// others know if that is urgent.
pub(crate) fn changed(instance: &Instance, changes: &Changes, source: &str) {
    let count = |event: &str| instance.metrics.suspects.with_label_values(&[event]).inc();
    for (fingerprint, ended) in &changes.held {
        count("held");
        log::warn!(target: "suspects", fingerprint:%, ended, source; "held back");
    }
    for fingerprint in &changes.released {
        count("released");
        log::warn!(target: "suspects", fingerprint:%, source; "released");
    }
    if changes.is_urgent {
        instance.spread.notify_one();
    }
}
