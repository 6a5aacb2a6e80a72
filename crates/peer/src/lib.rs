//! Messages between instances, and the interfaces through which they are sent and handled.
//!
//! A [`PeerClient`] sends a [`Request`] to another instance, where a [`PeerService`] handles it.
//! [`transport()`] carries requests over authenticated connections; [`LocalPeers`] connects clients
//! and services within one process, for tests.

pub mod codec;
mod error;
mod local;
pub mod message;
pub mod transport;

#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
#[allow(
    missing_docs,
    unreachable_pub,
    rust_2018_idioms,
    clippy::all,
    clippy::unimplemented,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "generated from schema/peer.capnp"
)]
mod peer_capnp;

pub use error::PeerError;
pub use local::LocalPeers;
pub use message::{Reply, Request, RequestKind, Sender};
pub use transport::{Transport, TransportClient, TransportSettings, transport};

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Sends requests to other instances.
#[async_trait]
pub trait PeerClient: Send + Sync + 'static {
    /// Sends a request to the instance at `to`, and waits for its reply.
    async fn call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError>;
}

/// Handles requests from other instances.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Handles one request and returns its reply.
    async fn handle(&self, from: Sender, request: Request) -> Reply;
}

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Stream for T {}

/// Opens connections to other instances.
#[async_trait]
pub trait Connect: Send + Sync + 'static {
    /// Opens a connection to `to`.
    async fn connect(&self, to: &PeerEndpoint) -> io::Result<Box<dyn Stream>>;
}

/// Location of another instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PeerEndpoint {
    /// Address at which it accepts connections from other instances.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
}
