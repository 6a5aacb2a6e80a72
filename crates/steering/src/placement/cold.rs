//! What a cold backend server gets from one instance.

use super::rank::rank;
use std::time::Instant;

/// Instances that send to one cold backend server.
pub const SENDERS: usize = 2;

/// Part of the rate that a cold backend server bears which one sender uses: twice as many senders,
/// while views differ, stay below the bound with its overage and slack.
const SENDER_SHARE: f64 = 0.35;

/// Requests that one sender may send at once.
const BURST: f64 = 1.25;

/// Tells whether an instance is one of the senders to a cold backend server.
///
/// `instances` holds the hashes of the names of the instances that may send, this one included.
pub fn is_sender(own: u64, server: u64, instances: &[u64]) -> bool {
    let own_rank = rank(server, own);
    instances.iter().filter(|other| rank(server, **other) < own_rank).count() < SENDERS
}

/// Token bucket for one cold backend server.
#[derive(Clone, Copy, Debug)]
pub struct ColdPace {
    tokens: f64,
    filled_at: Instant,
}

impl ColdPace {
    /// Begins with one token.
    pub fn new(now: Instant) -> Self {
        Self { tokens: 1.0, filled_at: now }
    }

    /// Tells whether a request may be sent now.
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
