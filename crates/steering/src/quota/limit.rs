//! What a quota means for those that hand it out.

use crate::deployment::Quota;
use std::time::Duration;

/// The bound that holds a quota over any window of time, by the settings: within `window`,
/// (rate x window + burst) x (1 + `overage`) + `slack` requests may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Length of a window.
    pub window: Duration,
    /// Part by which a quota may be passed.
    pub overage: f64,
    /// Requests by which it may be passed beside that.
    pub slack: f64,
}

impl Default for QuotaTerms {
    /// Terms of an operator who tells none: a quota is never passed.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.0, slack: 0.0 }
    }
}

/// A quota, and how the room between it and its bound is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, over all instances.
    pub rate_per_s: f64,
    /// Requests that may be kept for later, over all instances: the burst, and half of the room.  The
    /// customer's requests come where what is kept is not, so that the burst alone would be too little.
    pub capacity: f64,
    /// Requests that instances which start may hand out before they could have kept any, if all of them
    /// start at once: the other half of the room, as what ran before may be as much as the bound allows.
    pub initial_tokens: f64,
    /// Whether requests may grow by no more than a part within two seconds.
    pub limits_growth: bool,
}

impl Limit {
    /// The limit of a quota in a region in which its requests may not run: without the burst, and with
    /// requests that grow slowly.
    ///
    /// More requests of such a customer change the region in which they run, as others' do not.  One with
    /// 0.16 of all requests that asks 9 times its usual makes 0.24 of a region's requests run elsewhere
    /// from one 2 s to the next, where 0.15 may.
    pub fn for_disallowed_region(quota: Quota, terms: QuotaTerms) -> Self {
        let limit = Self::new(quota, terms);
        Self { capacity: limit.capacity - quota.burst, limits_growth: true, ..limit }
    }

    /// The limit of a quota under these terms.
    pub fn new(quota: Quota, terms: QuotaTerms) -> Self {
        let in_window = quota.rate_per_s * terms.window.as_secs_f64() + quota.burst;
        let room = in_window * terms.overage + terms.slack;
        Self {
            rate_per_s: quota.rate_per_s,
            capacity: quota.burst + room / 2.0,
            initial_tokens: room / 2.0,
            limits_growth: false,
        }
    }
}
