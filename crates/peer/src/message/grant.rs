//! Grants of link and site capacity within an availability zone.

use std::sync::Arc;

/// Asks the session holder for grants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantRequest {
    /// Highest epoch that the asker has seen.
    pub known_epoch: u64,
    /// Number of this request, counted by the asker from 1.
    pub number: u64,
    /// Number of the request whose reply the asker holds grants from; 0 when it holds none.
    pub accepted_number: u64,
    /// What the asker would use on each link.
    pub links: Vec<LinkAmount>,
    /// What the asker would use at each site.
    pub sites: Vec<SiteAmount>,
    /// Slots that the asker's exchanges occupy at each site.
    pub in_use: Vec<SiteAmount>,
}

/// An amount on the link from the own availability zone to another.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkAmount {
    /// Availability zone that the link leads to.
    pub to: Arc<str>,
    /// Requests, in thousandths of a request a second.
    pub requests_per_ks: u64,
    /// Bytes a second; 0 where the link has no cap of bytes.
    pub bytes_per_s: u64,
}

/// An amount of slots at a site.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteAmount {
    /// The service.
    pub service: Arc<str>,
    /// The site's availability zone.
    pub availability_zone: Arc<str>,
    /// Slots.
    pub slots: u32,
}

/// Answer to a request for grants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GrantReply {
    /// Epoch of the session; 0 when the answering instance does not hold it.
    pub epoch: u64,
    /// How long the grants last, in milliseconds from before the request was sent.
    pub lasts_ms: u64,
    /// Grants on links, in place of earlier ones.
    pub links: Vec<LinkAmount>,
    /// Grants at sites, in place of earlier ones.
    pub sites: Vec<SiteAmount>,
}

/// Gives back all grants of an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReleaseRequest {
    /// The epoch.
    pub epoch: u64,
    /// Number of the asker's last request for grants; later ones are not given back.
    pub number: u64,
}

/// Asks for a promise not to take the session while the platform is down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromiseRequest {
    /// Epoch of the session that the asker holds.
    pub epoch: u64,
    /// How long the promise is to last, in milliseconds from when it is given.
    pub lasts_ms: u64,
}

/// Whether the promise is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromiseReply {
    /// Whether it is given.
    pub promised: bool,
    /// Highest epoch that the answering instance has seen.
    pub known_epoch: u64,
}
