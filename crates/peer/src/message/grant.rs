//! Grants of link and site capacity within an availability zone.

use std::sync::Arc;

/// Requests grants from the session holder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantRequest {
    /// Highest epoch that the requester has seen.
    pub known_epoch: u64,
    /// Sequence number of this request, counted by the requester from 1.
    pub number: u64,
    /// Number of the request whose grants the requester holds; 0 when it holds none.
    pub accepted_number: u64,
    /// Demand of the requester on each link.
    pub links: Vec<LinkAmount>,
    /// Demand of the requester at each site.
    pub sites: Vec<SiteAmount>,
    /// Slots that the requester's exchanges occupy at each site.
    pub in_use: Vec<SiteAmount>,
}

/// An amount on the link from the sender's availability zone to another one.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkAmount {
    /// Availability zone that the link leads to.
    pub to: Arc<str>,
    /// Requests per 1,000 seconds.
    pub requests_per_ks: u64,
    /// Bytes per second; 0 when the link has no byte cap.
    pub bytes_per_s: u64,
}

/// An amount of slots at a site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteAmount {
    /// The service.
    pub service: Arc<str>,
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Number of slots.
    pub slots: u32,
}

/// Reply to a [`GrantRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantReply {
    /// Epoch of the session; 0 when the replying instance does not hold it.
    pub epoch: u64,
    /// Duration of the grants in milliseconds, counted from before the request was sent.
    pub lasts_ms: u64,
    /// Grants on links; they replace earlier ones.
    pub links: Vec<LinkAmount>,
    /// Grants at sites; they replace earlier ones.
    pub sites: Vec<SiteAmount>,
}

/// Releases all grants of an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReleaseRequest {
    /// The epoch.
    pub epoch: u64,
    /// Number of the requester's last grant request; grants of later ones are not released.
    pub number: u64,
}

/// Requests a promise not to take the session while the platform is unavailable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromiseRequest {
    /// Epoch of the session that the requester holds.
    pub epoch: u64,
    /// Duration of the promise in milliseconds, counted from when it is given.
    pub lasts_ms: u64,
}

/// Reply to a [`PromiseRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromiseReply {
    /// Whether the promise is given.
    pub promised: bool,
    /// Highest epoch that the replying instance has seen.
    pub known_epoch: u64,
}
