//! Grants of the session holder to the instances of its availability zone.

use super::Resource;
use std::collections::BTreeMap;
use std::time::Duration;

/// An amount of each resource: requests a second, or slots.
pub type Amounts = BTreeMap<Resource, u64>;

/// What an instance asks the session holder for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllocationRequest {
    /// Number of this request, counted from 1.
    pub number: u64,
    /// Number of the request whose grant the asker holds; 0 for none.
    pub accepted_number: u64,
    /// Highest epoch that the asker has seen.
    pub known_epoch: u64,
    /// What it would use beside its floors.
    pub demand: Amounts,
    /// What its exchanges occupy beside its floors; sites only.
    pub in_use: Amounts,
}

/// What an instance is granted, in place of what it was granted before.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Epoch of the session.
    pub epoch: u64,
    /// Number of the request that it answers.
    pub number: u64,
    /// How long it lasts, from before that request was sent.
    pub duration: Duration,
    /// What may be used beside the floors.
    pub amounts: Amounts,
}

/// Why a grant was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GrantRefusal {
    /// A session with a higher epoch is known.
    #[error("epoch {epoch} is over: epoch {known_epoch} is known")]
    StaleEpoch {
        /// Epoch of the grant.
        epoch: u64,
        /// Epoch known.
        known_epoch: u64,
    },
    /// A later request was answered already, or all grants were given back since.
    #[error("the grant answers request {number}; request {accepted} was answered or given back")]
    Superseded {
        /// Number of the request that the grant answers.
        number: u64,
        /// Number up to which grants are settled.
        accepted: u64,
    },
    /// The grant is over.
    #[error("the grant is over")]
    Expired,
}
