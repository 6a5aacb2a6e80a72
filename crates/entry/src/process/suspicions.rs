//! Requests under which backend servers ended, as instances tell each other of them.
//!
//! What is new goes to a few others at once, who pass it on as soon as it matters to them; what is
//! known goes along with heartbeats, for those that started or lost a datagram.

use super::datagram::{self, Kind};
use super::instance::Instance;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use steering::placement::peers::BEAT;
use steering::suspects::{Changes, FANOUT, STEADY_FANOUT};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// Tells others for as long as the process lives.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(tell(instance.clone(), socket));
}

async fn tell(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut beat = tokio::time::interval(BEAT);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_urgent = tokio::select! {
            () = instance.suspicion.notified() => true,
            _ = beat.tick() => false,
        };
        if instance.suspects.borrow().is_empty() {
            continue;
        }
        let now = Instant::now();
        let time = instance.clock.now();
        let forgotten = instance.suspects.borrow_mut().prune(time);
        changed(&instance, &forgotten, "age");
        let is_fresh = is_urgent || instance.suspects.borrow().has_fresh(time);
        let count = if is_fresh { FANOUT } else { STEADY_FANOUT };
        for target in targets(&instance, count, now) {
            let told = instance.suspects.borrow().tell(&mut rand::rng(), time);
            let Some(told) = told else { break };
            // A datagram that can't be sent is as good as one that is lost.
            let _ = socket.send_to(&datagram::write(Kind::Suspects, &told), target).await;
        }
    }
}

/// Some living instances.
fn targets(instance: &Instance, count: usize, now: Instant) -> Vec<SocketAddr> {
    let peers = instance.peers.borrow();
    let addresses = peers.alive(now).map(|peer| peer.gossip_address);
    addresses.choose_multiple(&mut rand::rng(), count)
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
        instance.suspicion.notify_one();
    }
}
