//! What backend servers get that bear few requests, from all instances together.
//!
//! A bound on the sum holds without an agreement if few instances send at all, each at a part of the
//! rate: those of the backend server's region that come first by rank.

use super::rank::rank;
use std::time::Instant;

/// Instances that send to a backend server that bears few requests.
pub const SENDERS: usize = 2;

/// Part of the rate that a backend server bears which one sender uses: twice as many senders,
/// while views differ, stay below one and a half times the rate.
const SENDER_SHARE: f64 = 0.35;

/// Requests that one sender may send at once.
const BURST: f64 = 1.25;

/// Tells whether an instance is one of the senders to a backend server that bears few requests.
///
/// `instances` holds the hashes of the names of the instances that may send, this one included.
pub fn is_sender(own: u64, server: u64, instances: &[u64]) -> bool {
    let own_rank = rank(server, own);
    instances.iter().filter(|other| rank(server, **other) < own_rank).count() < SENDERS
}

/// What an instance is to a backend server that bears few requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// One of the senders.
    Sender,
    /// The only instance that it knows, so that it can't tell who the senders are.
    Alone,
    /// Another one.
    Other,
}

impl Role {
    /// That of an instance with a name of this hash in a region to a backend server; `instances` holds
    /// the hashes of the living ones of its region, this one included, or nothing while it knows none.
    pub fn of(own: u64, instances: &[u64], region: &str, server: (u64, &str)) -> Self {
        let (server_hash, server_region) = server;
        match () {
            () if server_region != region => Self::Other,
            () if instances.is_empty() => Self::Alone,
            () if is_sender(own, server_hash, instances) => Self::Sender,
            () => Self::Other,
        }
    }
}

/// Token bucket of one instance for one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    tokens: f64,
    filled_at: Instant,
}

impl Pace {
    /// Begins with one token.
    pub fn new(now: Instant) -> Self {
        Self { tokens: 1.0, filled_at: now }
    }

    /// Tells whether a sender may send a request now; the rate is that of all instances together.
    pub fn has_token(&mut self, rate_per_s: f64, now: Instant) -> bool {
        let gained = now.duration_since(self.filled_at).as_secs_f64() * rate_per_s * SENDER_SHARE;
        self.tokens = (self.tokens + gained).min(BURST);
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Spends the token of a request that is sent.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
