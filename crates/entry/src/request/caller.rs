//! The sender of a request.

use http::Request;
use std::net::{IpAddr, Ipv4Addr};

/// Remote address of the connection that a request came over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller(pub(crate) IpAddr);

impl Caller {
    /// The sender's address; the unspecified address if the listener set none.
    pub(super) fn address_of<B>(request: &Request<B>) -> IpAddr {
        let unspecified = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        request.extensions().get::<Self>().map_or(unspecified, |Self(host)| *host)
    }
}
