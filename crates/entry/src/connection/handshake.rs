//! HTTP/1 clients on new connections, with bounded memory.

use http_body::Body;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error;
use tokio::net::TcpStream;

/// Bytes that a connection buffers, and so the longest response head: a thousand connections on which
/// a head has no end take a fifth of the memory of the smallest instances.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Begins HTTP/1 on a connection.
///
/// # Errors
///
/// Fails if the connection is not usable.
pub(super) async fn handshake<B>(
    stream: TcpStream,
) -> hyper::Result<(SendRequest<B>, Connection<TokioIo<TcpStream>, B>)>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream)).await
}
