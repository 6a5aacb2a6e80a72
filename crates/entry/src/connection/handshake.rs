//! HTTP/1 clients on new connections, with bounded memory.

use super::remainder::Remainder;
use http_body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, Write};
use std::error::Error;
use std::future::poll_fn;

/// Bytes that a connection buffers, and so the longest response head: a thousand connections on which
/// a head has no end take a fifth of the memory of the smallest instances.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Begins HTTP/1 on a connection; returns what sends requests, what follows the last response, and the future
/// that drives the connection until its end.
///
/// # Errors
///
/// Fails if the connection is not usable.
pub async fn handshake<S, B>(
    stream: S,
) -> hyper::Result<(SendRequest<B>, Remainder, impl Future<Output = ()>)>
where
    S: Read + Write + Unpin,
    B: Body + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (sender, mut connection) =
        Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(stream).await?;
    let remainder = Remainder::default();
    let recorded = remainder.clone();
    let driver = async move {
        // Errors of the connection show up in the request that uses it.
        let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
        recorded.record(&connection.into_parts().read_buf);
    };
    Ok((sender, remainder, driver))
}
