//! Telling other instances what was learned beside heartbeats.
//!
//! What is new goes to a few others at once, who pass it on as soon as it matters to them; what is
//! known goes along with heartbeats, for those that started or lost a datagram.

use super::datagram::{self, Kind};
use super::instance::Instance;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use steering::placement::peers::HEARTBEAT_INTERVAL;
use steering::spreading::{FANOUT, STEADY_FANOUT};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

/// All that is told so.
pub(super) type Topics = &'static [&'static dyn Topic];

/// Something that instances tell each other.
pub(super) trait Topic {
    /// Kind of the datagrams.
    fn kind(&self) -> Kind;

    /// Tells whether something is known that others may not know yet; none if there is nothing to tell.
    fn has_fresh(&self, instance: &Instance) -> Option<bool>;

    /// What one other instance is told; none if there is nothing.
    fn message(&self, instance: &Instance) -> Option<Vec<u8>>;
}

/// Tells others for as long as the process lives.
pub(super) fn run(instance: &Rc<Instance>, socket: Rc<UdpSocket>, topics: Topics) {
    tokio::task::spawn_local(tell(instance.clone(), socket, topics));
}

async fn tell(instance: Rc<Instance>, socket: Rc<UdpSocket>, topics: Topics) {
    let mut beat = tokio::time::interval(HEARTBEAT_INTERVAL);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_urgent = tokio::select! {
            () = instance.spread.notified() => true,
            _ = beat.tick() => false,
        };
        for topic in topics {
            let Some(is_fresh) = topic.has_fresh(&instance) else { continue };
            let count = if is_urgent || is_fresh { FANOUT } else { STEADY_FANOUT };
            for target in targets(&instance, count) {
                let Some(told) = topic.message(&instance) else { break };
                // A datagram that can't be sent is as good as one that is lost.
                let _ = socket.send_to(&datagram::write(topic.kind(), &told), target).await;
            }
        }
    }
}

/// Some living instances.
fn targets(instance: &Instance, count: usize) -> Vec<SocketAddr> {
    let peers = instance.peers.borrow();
    let addresses = peers.alive(Instant::now()).map(|peer| peer.gossip_address);
    addresses.choose_multiple(&mut rand::rng(), count)
}
