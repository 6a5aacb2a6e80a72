//! Opens connections to backend servers and peers, behind a trait so that tests and the lab can
//! simulate the network.

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Stream for T {}

/// A connection opened by any [`Dialer`].
pub type BoxStream = Box<dyn Stream>;

/// The remote end of a connection.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Endpoint {
    /// Address and port.
    pub address: SocketAddr,
    /// Availability zone of the address.
    pub availability_zone: Arc<str>,
}

/// Opens connections.
#[async_trait]
pub trait Dialer: Send + Sync + 'static {
    /// Connects to `endpoint`.
    async fn dial(&self, endpoint: &Endpoint) -> io::Result<BoxStream>;
}

/// Opens TCP connections.
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
