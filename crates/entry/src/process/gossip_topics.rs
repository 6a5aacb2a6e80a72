//! Gossip of topics other than heartbeats.
//!
//! New items go to a few instances at once, which forward them when they are urgent for them; known
//! items are repeated at each heartbeat for instances that just started or lost a datagram.

use super::datagram::{self, Kind};
use super::instance::Instance;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use steering::gossip::{FANOUT, STEADY_FANOUT};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// All topics that are gossiped.
pub(super) type Topics = &'static [&'static dyn Topic];

/// A kind of information that instances gossip.
pub(super) trait Topic {
    /// Kind of the datagrams.
    fn kind(&self) -> Kind;

    /// Returns whether there are items that others may not have yet; none if there are no items.
    fn has_recent_changes(&self, instance: &Instance) -> Option<bool>;

    /// The message for one other instance; none if there is nothing to send.
    fn message(&self, instance: &Instance) -> Option<Vec<u8>>;
}

/// Starts the task that gossips the topics for the lifetime of the process.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>, topics: Topics) {
    tokio::task::spawn_local(gossip_loop(instance.clone(), socket, topics));
}

async fn gossip_loop(instance: Rc<Instance>, socket: Rc<UdpSocket>, topics: Topics) {
    let mut heartbeat = tokio::time::interval(instance.timings.liveness.heartbeat_interval);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_urgent = tokio::select! {
            () = instance.urgent_gossip.notified() => true,
            _ = heartbeat.tick() => false,
        };
        for topic in topics {
            let Some(is_recent) = topic.has_recent_changes(&instance) else { continue };
            let count = if is_urgent || is_recent { FANOUT } else { STEADY_FANOUT };
            for target in targets(&instance, count) {
                let Some(message) = topic.message(&instance) else { break };
                // A datagram that can't be sent counts as lost.
                let _ = socket.send_to(&datagram::encode(topic.kind(), &message), target).await;
            }
        }
    }
}

/// Gossip addresses of some live peers, chosen at random.
fn targets(instance: &Instance, count: usize) -> Vec<SocketAddr> {
    let peers = instance.peers.borrow();
    let addresses = peers.alive(Instant::now()).map(|peer| peer.gossip_address);
    addresses.choose_multiple(&mut rand::rng(), count)
}
