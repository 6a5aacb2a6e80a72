//! Hand-over of a watch that gets no response from the store.
//!
//! The instance that abandons it asks its successors in the region to watch the subject at once, as
//! a heartbeat may reach them later.  A successor watches once; then the usual choice of the watchers
//! applies.

use super::datagram::{self, Kind};
use super::instance::Instance;
use crate::platform_api::Subject;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::UdpSocket;

/// Request to watch a subject in place of the sender.
#[derive(Debug, Deserialize, Serialize)]
struct WatchHandover {
    sender: Arc<str>,
    /// [`Subject::index`] of the subject.
    subject_index: usize,
}

/// Hands the watch of a subject over to the successors.
pub(super) async fn send(instance: &Instance, socket: &UdpSocket, subject: Subject) {
    let handover =
        WatchHandover { sender: instance.settings.name.clone(), subject_index: subject.index() };
    // Encoding into memory can't fail; an empty message would be rejected by the receiver.
    let message = postcard::to_allocvec(&handover).unwrap_or_default();
    let bytes = datagram::encode(Kind::WatchHandover, &message);
    for (name, address) in successors(instance) {
        let subject = subject.as_str();
        log::info!(target: "store", subject, successor = &*name; "watch handed over");
        // A datagram that can't be sent counts as lost.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Handles a message of another instance.
pub(super) fn receive(instance: &Instance, message: &[u8]) {
    let handover: Option<WatchHandover> = postcard::from_bytes(message).ok();
    let known = handover.and_then(|WatchHandover { sender, subject_index }| {
        Some((sender, *Subject::ALL.get(subject_index)?))
    });
    let Some((sender, subject)) = known else {
        log::warn!(target: "store", bytes = message.len(); "invalid hand-over of a watch");
        return;
    };
    log::info!(
        target: "store", subject = subject.as_str(), sender = &*sender;
        "watch handed over to this instance"
    );
    // Only a task that waits is woken: one that watches or fails itself needs no hand-over.
    instance.watch_handovers[subject.index()].notify_waiters();
}

/// Names and gossip addresses of the successors.
fn successors(instance: &Instance) -> Vec<(Arc<str>, SocketAddr)> {
    let own = instance.own_peer();
    let peers = instance.peers.borrow();
    let successors = peers.watch_successors(&own, Instant::now()).into_iter();
    successors.map(|peer| (peer.name.clone(), peer.gossip_address)).collect()
}
