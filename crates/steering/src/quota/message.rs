//! What instances tell each other of quotas that are pooled.

use super::fleet::MemberId;
use crate::deployment::CustomerId;
use serde::{Deserialize, Serialize};

/// Parts of a request in which amounts are told: what rounding loses is below a hundredth of a request a
/// second at each instance.
const PARTS: f64 = 1_000.0;

/// An amount of requests that may run, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Amount(u32);

impl Amount {
    /// The amount, rounded down, so that no more is given than there was.
    pub(super) fn of(requests: f64) -> Self {
        Self((requests.max(0.0) * PARTS).floor() as u32)
    }

    /// The amount in requests.
    pub(super) fn requests(self) -> f64 {
        f64::from(self.0) / PARTS
    }
}

/// That an instance lends its part of all quotas to those that keep them for its region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Lending {
    /// Instances that it lends to; each works out from this list which customers it keeps.
    pub(super) keepers: Vec<MemberId>,
    /// Instances that it divides every quota by.
    pub(super) fleet_size: u32,
    /// Whether it has just started.
    pub(super) is_fresh: bool,
}

impl Lending {
    /// The part of every quota that is lent.
    pub(super) fn fraction(&self) -> f64 {
        1.0 / f64::from(self.fleet_size.max(1))
    }
}

/// Something about one customer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum About {
    /// A request asks to run, and some more may be kept here for later ones.
    Ask {
        /// How many more.
        more: Amount,
    },
    /// The keeper of another region lacks this much.
    Lack(Amount),
    /// So much may run.
    Give(Amount),
    /// So much was granted and did not run.
    Return(Amount),
    /// So much ran beside what was granted.
    Charge(Amount),
    /// Nothing may run for so many milliseconds.
    Refuse(u16),
}

/// A datagram about quotas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Told {
    /// Who tells it.
    pub(super) from: MemberId,
    /// Grows with each datagram of an instance, also over its starts.
    pub(super) number: u64,
    /// What is lent, if that is told.
    pub(super) lending: Option<Lending>,
    /// What is told of customers.
    pub(super) about: Vec<(CustomerId, About)>,
}
