//! Findings about backend servers that instances share.

use std::net::SocketAddr;

/// A backend server that an instance itself observed to be unfit for new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The backend server.
    pub address: SocketAddr,
    /// Whether it is leaving; otherwise it is failing.
    pub leaving: bool,
}
