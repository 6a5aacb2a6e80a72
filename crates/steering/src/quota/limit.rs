//! The limits that limiters enforce for a customer's quota.

use crate::deployment::Quota;
use std::time::Duration;

/// The configured bound on the requests of a customer in any window of time: within `window`, (rate
/// x window + burst) x (1 + `overage`) + `slack` requests may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Length of a window.
    pub window: Duration,
    /// Fraction by which a quota may be exceeded.
    pub overage: f64,
    /// Number of requests by which a quota may be exceeded, in addition to `overage`.
    pub slack: f64,
}

impl Default for QuotaTerms {
    /// The terms if none are configured: a quota is never exceeded.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.0, slack: 0.0 }
    }
}

/// A quota, and how limiters use the headroom between it and its bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second, over all instances.
    pub rate_per_s: f64,
    /// Tokens that may accumulate, over all instances: the burst and half of the headroom. The
    /// burst alone would be too little, as the tokens are often not where the customer's requests
    /// arrive.
    pub capacity: f64,
    /// Tokens that starting instances may grant before any could accumulate, if all of them start
    /// at once: the other half of the headroom, as earlier requests may have used up all that the
    /// bound allows.
    pub initial_tokens: f64,
    /// Whether the number of requests may grow only by a limited factor within two seconds.
    pub limits_growth: bool,
}

impl Limit {
    /// The limit of a quota in a region where the customer's requests are not allowed to run:
    /// without the burst, and with limited growth.
    ///
    /// Unlike those of other customers, all additional requests of such a customer run in another
    /// region. A customer with 0.16 of all requests that sends 9 times its usual rate would move
    /// 0.24 of a region's requests to other regions within 2 s, where at most 0.15 may move.
    pub fn for_disallowed_region(quota: Quota, terms: QuotaTerms) -> Self {
        let limit = Self::new(quota, terms);
        Self { capacity: limit.capacity - quota.burst, limits_growth: true, ..limit }
    }

    /// The limit of a quota under these terms.
    pub fn new(quota: Quota, terms: QuotaTerms) -> Self {
        let in_window = quota.rate_per_s * terms.window.as_secs_f64() + quota.burst;
        let headroom = in_window * terms.overage + terms.slack;
        Self {
            rate_per_s: quota.rate_per_s,
            capacity: quota.burst + headroom / 2.0,
            initial_tokens: headroom / 2.0,
            limits_growth: false,
        }
    }
}
