//! Bodies of requests and responses.

use super::server_stream::{ServerBodyError, ServerStream};
use crate::process::held_bytes::hold;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use std::error::Error;
use std::pin::Pin;
use steering::machine::MemoryPool;

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
    Streaming(ServerStream),
}

impl ServerBody {
    /// Buffers the body if its length is known and short and there is memory for it, or if it has ended already.
    ///
    /// # Errors
    ///
    /// Fails if the body is known by now to be truncated, or not to end where the head says.
    pub async fn read(
        mut stream: ServerStream,
        memory: &MemoryPool,
    ) -> Result<Self, ServerBodyError> {
        let length = stream.length().filter(|length| *length <= MAX_BUFFERED_RESPONSE_BYTES);
        let reservation = length.and_then(|length| memory.reserve(length as usize));
        let Some(reservation) = reservation else {
            return Ok(match stream.has_ended_early()? {
                true => Self::Buffered(Bytes::new()),
                false => Self::Streaming(stream),
            });
        };
        let mut buffer = BytesMut::new();
        while let Some(frame) = stream.frame().await {
            if let Ok(data) = frame?.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
        stream.check_remainder()?;
        Ok(Self::Buffered(hold(buffer.freeze(), reservation)))
    }
}
