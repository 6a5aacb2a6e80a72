//! The border to the network: how connections to backend servers and peers are made.

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A stream of bytes both ways.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Stream for T {}

/// A connection, whatever made it.
pub type BoxStream = Box<dyn Stream>;

/// Where a connection goes to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Endpoint {
    /// Address and port.
    pub address: SocketAddr,
    /// Availability zone that the address is in.
    pub availability_zone: Arc<str>,
}

/// Makes connections.
#[async_trait]
pub trait Dialer: Send + Sync + 'static {
    /// Connects to `endpoint`.
    async fn dial(&self, endpoint: &Endpoint) -> io::Result<BoxStream>;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

#[async_trait]
impl Dialer for TcpDialer {
    async fn dial(&self, endpoint: &Endpoint) -> io::Result<BoxStream> {
        let stream = TcpStream::connect(endpoint.address).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}
