//! The body of a caller's request.

use super::body::RequestBody;
use super::problem::Problem;
use bytes::{Bytes, BytesMut};
use http::Request;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Longest body in bytes that is buffered before the request is sent: twice a large upload, and small
/// compared with the memory of the smallest instance.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// The body of a caller's request.
pub enum CallerBody {
    /// It was read completely and can be sent more than once.
    Buffered(Bytes),
    /// It is forwarded as it arrives, and can be sent once.
    Streaming(Option<RequestBody>),
}

impl CallerBody {
    /// Buffers the body if it is short, with a known length or in chunks.
    ///
    /// A buffered body can be sent again, and compared with the bodies of other requests.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer than `limit_bytes` or truncated.
    pub async fn read(request: Request<Incoming>, limit_bytes: u64) -> Result<Self, Problem> {
        let mut body = request.into_body();
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(Problem::BodyTooLong { limit_bytes });
        }
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES) {
            return Ok(Self::Streaming(Some(Box::pin(Limited::new(body, limit)))));
        }
        let mut prefix = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| Problem::BodyTruncated)?.into_data() {
                prefix.extend_from_slice(&data);
            }
            if prefix.len() > limit {
                return Err(Problem::BodyTooLong { limit_bytes });
            }
            if prefix.len() as u64 > MAX_BUFFERED_BYTES {
                let body = PartiallyRead { prefix: Some(prefix.freeze()), unread: body };
                return Ok(Self::Streaming(Some(Box::pin(Limited::new(body, limit)))));
            }
        }
        Ok(Self::Buffered(prefix.freeze()))
    }

    /// Takes the body for one attempt; `None` if it was sent already and can't be sent again.
    pub fn take(&mut self) -> Option<RequestBody> {
        match self {
            Self::Buffered(bytes) => {
                let body = Full::new(bytes.clone()).map_err(|never| match never {});
                Some(Box::pin(body))
            }
            Self::Streaming(body) => body.take(),
        }
    }

    /// The bytes of the body, if it is buffered.
    pub fn buffered(&self) -> Option<Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes.clone()),
            Self::Streaming(_) => None,
        }
    }

    /// Whether [`CallerBody::take`] returns a body.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Streaming(None))
    }
}

/// A body of which a prefix has been read.
struct PartiallyRead {
    prefix: Option<Bytes>,
    unread: Incoming,
}

impl Body for PartiallyRead {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.unread).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.unread.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // Only bodies of unknown length are read in part.
        SizeHint::default()
    }
}
