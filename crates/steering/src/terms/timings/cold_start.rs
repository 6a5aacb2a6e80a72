//! Limits on the requests to cold backend servers.

use crate::terms::ColdStartTerms;

/// Number of instances that send to one cold backend server while instances disagree on the
/// membership: twice as many as otherwise.
pub(in crate::terms) const MAX_SENDERS: f64 = 4.0;

/// Fraction of the backend server's rate that one sender uses under usual terms.
const SENDER_SHARE: f64 = 0.35;

/// Part of the overage that all senders together use.
const USED_OVERAGE: f64 = 0.95;

/// Largest burst of one sender under usual terms, in requests.
const BURST: f64 = 1.25;

/// Limits on the requests of one instance to a backend server with a low rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderLimits {
    /// Fraction of the backend server's rate that it uses.
    pub rate_share: f64,
    /// Largest burst, in requests; at least 1, as no request could be sent otherwise.
    pub burst: f64,
}

impl Default for SenderLimits {
    fn default() -> Self {
        Self { rate_share: SENDER_SHARE, burst: BURST }
    }
}

impl From<&ColdStartTerms> for SenderLimits {
    /// The rates of all senders keep within the overage, and their bursts within the slack.
    fn from(terms: &ColdStartTerms) -> Self {
        let max_share =
            terms.overage.map_or(f64::MAX, |overage| USED_OVERAGE * overage / MAX_SENDERS);
        let max_burst = terms.slack.map_or(f64::MAX, |slack| slack / MAX_SENDERS);
        Self { rate_share: SENDER_SHARE.min(max_share), burst: BURST.min(max_burst).max(1.0) }
    }
}
