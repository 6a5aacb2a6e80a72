//! Bodies of requests and responses.

use crate::connection::response::Framing;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;

/// Longest response body in bytes that is buffered before it is forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 128 * 1024;

/// Error of a streamed body.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Body of a request to a backend server.
pub type RequestBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Body of a response to a caller.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// A response body with these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// The body of a backend server's response.
pub enum ServerBody {
    /// It was short and read completely.
    Buffered(Bytes),
    /// It is forwarded as it arrives.
    Streaming(Incoming),
}

impl ServerBody {
    /// Buffers the body if its length is known and short.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated.
    pub async fn read(mut body: Incoming, framing: Framing) -> Result<Self, hyper::Error> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if !matches!(framing, Framing::Length(length) if length <= MAX_BUFFERED_RESPONSE_BYTES) {
            return Ok(Self::Streaming(body));
        }
        let mut buffer = BytesMut::new();
        while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            if let Ok(data) = frame?.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
        Ok(Self::Buffered(buffer.freeze()))
    }
}
