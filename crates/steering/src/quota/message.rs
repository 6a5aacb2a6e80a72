//! Messages that pooled limiters exchange.

use super::fleet::MemberId;
use crate::deployment::CustomerId;
use serde::{Deserialize, Serialize};

/// Resolution of amounts in messages: rounding loses less than a hundredth of a request per second
/// at each instance.
const TOKEN_PARTS: f64 = 1_000.0;

/// A number of tokens, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Amount(u32);

impl Amount {
    /// Converts a number of tokens, rounded down, so that no more is transferred than there was.
    pub(super) fn new(tokens: f64) -> Self {
        Self((tokens.max(0.0) * TOKEN_PARTS).floor() as u32)
    }

    /// The number of tokens.
    pub(super) fn tokens(self) -> f64 {
        f64::from(self.0) / TOKEN_PARTS
    }
}

/// An instance's lease of its fraction of all quotas to the brokers of its region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct LeaseRenewal {
    /// The brokers; each derives from this list which customers it serves.
    pub(super) brokers: Vec<MemberId>,
    /// Number of instances that it divides every quota by.
    pub(super) fleet_size: u32,
    /// Whether the instance has just started.
    pub(super) is_new_instance: bool,
}

impl LeaseRenewal {
    /// The leased fraction of every quota.
    pub(super) fn fraction(&self) -> f64 {
        1.0 / f64::from(self.fleet_size.max(1))
    }
}

/// A message about one customer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Message {
    /// Requests a token for a request that is waiting, and more for later ones.
    Request {
        /// Number of additional tokens wanted.
        more: Amount,
    },
    /// A broker of another region is short of this many tokens.
    Deficit(Amount),
    /// Transfers tokens to the recipient.
    Grant(Amount),
    /// Returns tokens that were granted and not used.
    Return(Amount),
    /// Charges tokens for requests that ran without a grant.
    Charge(Amount),
    /// Refuses a request; retry after this many milliseconds.
    Refuse(u16),
}

/// A datagram between limiters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Datagram {
    /// The sender.
    pub(super) from: MemberId,
    /// Sequence number: increases with each datagram of a sender, also across restarts.
    pub(super) sequence: u64,
    /// The sender's current lease, if the datagram carries it.
    pub(super) renewal: Option<LeaseRenewal>,
    /// Messages about customers.
    pub(super) messages: Vec<(CustomerId, Message)>,
}
