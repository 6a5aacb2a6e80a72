//! Room for callers when a machine is at its limits: connections that wait for their callers are ended for it.

use super::instance::Instance;
use super::millis::millis;
use crate::connection::open_connections::{Ended, ListenerKind};
use std::net::IpAddr;
use steering::machine::Reservation;

/// Connections that are ended at most for one reservation of memory.
const MAX_ENDED_FOR_MEMORY: usize = 16;

/// Turns of other tasks after which the slot of an upload that was ended is free.
const TURNS_UNTIL_FREE: usize = 3;

/// Returns whether a listener may hold one more connection, if need be in place of one that is ended.
pub(crate) fn has_connection_room(
    instance: &Instance,
    listener: ListenerKind,
    caller: IpAddr,
) -> bool {
    if !instance.connections.is_full(listener) {
        return true;
    }
    if let Some(ended) = instance.connections.end_one_of(listener) {
        record_ended(instance, &ended, "connections");
        return true;
    }
    let listener = listener.as_str();
    instance.metrics.refused_connections.with_label_values(&[listener]).inc();
    log::info!(target: "connection", caller:%, listener; "connection refused for lack of room");
    false
}

/// Lets a reservation grow to `bytes`, if need be in place of what connections hold that are ended; returns whether
/// there was enough.
pub(crate) async fn reserve(
    instance: &Instance,
    reservation: &mut Reservation,
    bytes: usize,
) -> bool {
    for _ in 0..MAX_ENDED_FOR_MEMORY {
        if reservation.grow_to(bytes) {
            return true;
        }
        let Some(ended) = instance.connections.end_one_with_memory() else { return false };
        record_ended(instance, &ended, "memory");
        // The task of the ended connection gives its memory back.
        tokio::task::yield_now().await;
    }
    reservation.grow_to(bytes)
}

/// Ends an upload to a service that waits for its caller, and waits until its slot is free; returns whether there
/// was one.
pub(crate) async fn free_slot(instance: &Instance, service: &str) -> bool {
    let Some(ended) = instance.connections.end_upload_to(service) else { return false };
    record_ended(instance, &ended, "slots");
    for _ in 0..TURNS_UNTIL_FREE {
        tokio::task::yield_now().await;
    }
    true
}

fn record_ended(instance: &Instance, ended: &Ended, short_of: &str) {
    let Ended { listener, caller, waiting, waited } = ended;
    let (listener, waiting_for) = (listener.as_str(), waiting.as_str());
    let labels = [listener, waiting_for, short_of];
    instance.metrics.ended_connections.with_label_values(&labels).inc();
    log::info!(
        target: "connection",
        caller:%, listener, waiting_for, waited_ms = millis(*waited), short_of,
        buffered_bytes = instance.memory.used_bytes();
        "connection ended for lack of room"
    );
}
