//! What instances tell each other about backend servers.

use std::net::SocketAddr;

/// A backend server that an instance found unfit for new work, by its own observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The backend server.
    pub address: SocketAddr,
    /// Whether it is leaving; else it is failing.
    pub leaving: bool,
}
