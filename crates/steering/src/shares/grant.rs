//! Grants that the session holder issues to the instances of its availability zone.

use super::Resource;
use std::collections::BTreeMap;
use std::time::Duration;

/// An amount of each resource: requests per second of a link, or slots of a site.
pub type Amounts = BTreeMap<Resource, u64>;

/// An instance's request to the session holder for grants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllocationRequest {
    /// Number of this request, counted from 1.
    pub number: u64,
    /// Number of the request whose grant the requester holds; 0 for none.
    pub accepted_number: u64,
    /// Highest epoch that the requester has seen.
    pub known_epoch: u64,
    /// Demand beyond its floors.
    pub demand: Amounts,
    /// Slots that its exchanges occupy beyond its floors; sites only.
    pub in_use: Amounts,
}

/// Amounts granted to an instance; replaces its previous grant.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Epoch of the session.
    pub epoch: u64,
    /// Number of the request that this grant answers.
    pub number: u64,
    /// How long the grant is valid, counted from before that request was sent.
    pub duration: Duration,
    /// Amounts that may be used beyond the floors.
    pub amounts: Amounts,
}

/// Reason why a grant was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GrantRefusal {
    /// A session with a higher epoch is known.
    #[error("epoch {epoch} is stale: epoch {known_epoch} is known")]
    StaleEpoch {
        /// Epoch of the grant.
        epoch: u64,
        /// Highest epoch known.
        known_epoch: u64,
    },
    /// A later request was already answered, or all grants were released since.
    #[error("the grant answers request {number}; grants up to request {accepted} are superseded")]
    Superseded {
        /// Number of the request that the grant answers.
        number: u64,
        /// Number of the request up to which grants were accepted or released.
        accepted: u64,
    },
    /// The grant has expired.
    #[error("the grant has expired")]
    Expired,
}
