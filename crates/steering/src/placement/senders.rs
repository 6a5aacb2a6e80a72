//! Selection of the instances that send to a backend server with a low request rate.
//!
//! The total rate stays bounded without coordination if only a few instances send, each at a
//! fraction of the rate: those of the backend server's region with the lowest ranks.

use crate::terms::timings::SenderLimits;
use std::time::Instant;

/// Number of instances that send to a backend server with a low rate.
pub const SENDERS_PER_SERVER: usize = 2;

/// The senders to a backend server, as a part of the instances of its region.
#[derive(Clone, Copy, Debug)]
pub struct SenderCount {
    senders: usize,
    instances: usize,
}

impl SenderCount {
    /// The senders in a region of `instances`; one if none is known.
    pub fn in_region(instances: usize) -> Self {
        let instances = instances.max(1);
        Self { senders: SENDERS_PER_SERVER.min(instances), instances }
    }

    /// Fraction of the region's requests that arrive at a sender.
    pub fn request_fraction(self) -> f64 {
        self.senders as f64 / self.instances as f64
    }

    /// Fraction of a rate limit that all senders use together.
    pub fn rate_fraction(self) -> f64 {
        self.senders as f64 * SenderLimits::default().rate_share
    }
}

/// Rate of requests to a cold backend server.
#[derive(Clone, Copy, Debug)]
pub struct ColdRate {
    /// Requests per second that it can take, of all instances together.
    pub per_s: f64,
    /// Limits on what one sender uses of it.
    pub limits: SenderLimits,
}

/// Token bucket of one instance for one backend server.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Starts with one token.
    pub fn new(now: Instant) -> Self {
        Self { tokens: 1.0, filled_at: now }
    }

    /// Starts without tokens.
    pub fn empty(now: Instant) -> Self {
        Self { tokens: 0.0, filled_at: now }
    }

    /// Removes all tokens.
    pub fn drain(&mut self, now: Instant) {
        self.tokens = self.tokens.min(0.0);
        self.filled_at = now;
    }

    /// Refills the bucket and returns whether a sender may send a request now; the rate is that of
    /// all instances together.
    pub fn has_token(&mut self, rate_per_s: f64, limits: SenderLimits, now: Instant) -> bool {
        let gained =
            now.duration_since(self.filled_at).as_secs_f64() * rate_per_s * limits.rate_share;
        self.tokens = (self.tokens + gained).min(limits.burst);
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}
