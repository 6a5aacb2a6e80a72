//! The sender of a request.

use http::Request;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// The sender of a request, and how long the request waited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// Remote address of the connection that it came over.
    pub(crate) host: IpAddr,
    /// Longest time for which it may have waited before its handling began.
    pub(crate) waited: Duration,
}

impl Caller {
    /// The sender of a request; at the unspecified address if the listener set none.
    pub(super) fn of<B>(request: &Request<B>) -> Self {
        let unknown = Self { host: IpAddr::V4(Ipv4Addr::UNSPECIFIED), waited: Duration::ZERO };
        request.extensions().get().copied().unwrap_or(unknown)
    }
}
