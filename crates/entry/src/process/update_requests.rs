//! Tracks the update requests to other instances that are in flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most requests in flight: each response may contain the full state.
const MAX_IN_FLIGHT: usize = 3;

#[derive(Debug)]
struct UpdateRequest {
    address: SocketAddr,
    /// Time from which a hedged request to another instance is allowed.
    hedge_at: Instant,
}

/// The update requests that are in flight.
///
/// An unresponsive or partitioned instance must not block updates from others: with one request at a
/// time it did so for 2.5 s, more than half of the time in which a change has to be in force.
#[derive(Debug, Default)]
pub struct UpdateRequests {
    in_flight: Vec<UpdateRequest>,
}

impl UpdateRequests {
    /// Begins a request unless one is in flight that may still be answered in time; returns whether it
    /// began. `hedge_delay` is the time for which it keeps others from being begun.
    pub fn begin(&mut self, address: SocketAddr, hedge_delay: Duration, now: Instant) -> bool {
        let blocks = |request: &UpdateRequest| request.address == address || now < request.hedge_at;
        if self.in_flight.len() >= MAX_IN_FLIGHT || self.in_flight.iter().any(blocks) {
            return false;
        }
        self.in_flight.push(UpdateRequest { address, hedge_at: now + hedge_delay });
        true
    }

    /// Ends a request.
    pub fn end(&mut self, address: SocketAddr) {
        self.in_flight.retain(|request| request.address != address);
    }
}
