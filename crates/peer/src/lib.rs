//! Messages between instances, and the border across which they are sent.
//!
//! A [`PeerClient`] sends a [`Request`] to another instance, where a [`PeerService`] answers it.
//! [`LocalPeers`] joins both within one process, for tests.

mod error;
mod local;
pub mod message;

pub use error::PeerError;
pub use local::LocalPeers;
pub use message::{Reply, Request, Sender};

use async_trait::async_trait;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sends requests to other instances.
#[async_trait]
pub trait PeerClient: Send + Sync + 'static {
    /// Sends a request to the instance whose address for peers is `to`, and waits for its reply.
    async fn call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError>;
}

/// Answers requests of other instances.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Answers one request.
    async fn answer(&self, from: Sender, request: Request) -> Reply;
}

/// Where another instance is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PeerEndpoint {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
}
