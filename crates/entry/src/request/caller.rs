//! Who sends a request.

use http::Request;
use std::net::{IpAddr, Ipv4Addr};

/// The host that a request comes from, as the connection shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller(pub(crate) IpAddr);

impl Caller {
    /// The host of a request; the unspecified address if the listener told none.
    pub(super) fn of<B>(request: &Request<B>) -> IpAddr {
        let unknown = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        request.extensions().get::<Self>().map_or(unknown, |Self(host)| *host)
    }
}
