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

/// Longest body that is read before the request is sent: twice a large upload of today, and small
/// next to the memory of the smallest instance.
const WHOLE_BYTES: u64 = 256 * 1024;

/// The body of a caller's request.
pub enum CallerBody {
    /// It was read whole and can be sent more than once.
    Whole(Bytes),
    /// It is passed on as it comes, once.
    Stream(Option<RequestBody>),
}

impl CallerBody {
    /// Reads the body, if it is short, whether its length is told or it comes in chunks.
    ///
    /// What is read whole can be sent again, and compared with what other tries carry.
    ///
    /// # Errors
    ///
    /// Says that it is too long or was cut.
    pub async fn read(request: Request<Incoming>, limit_bytes: u64) -> Result<Self, Problem> {
        let mut body = request.into_body();
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(Problem::BodyTooLong { limit_bytes });
        }
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        if length.is_some_and(|length| length > WHOLE_BYTES) {
            return Ok(Self::Stream(Some(Box::pin(Limited::new(body, limit)))));
        }
        let mut begun = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| Problem::BodyCut)?.into_data() {
                begun.extend_from_slice(&data);
            }
            if begun.len() > limit {
                return Err(Problem::BodyTooLong { limit_bytes });
            }
            if begun.len() as u64 > WHOLE_BYTES {
                let rest = Begun { begun: Some(begun.freeze()), rest: body };
                return Ok(Self::Stream(Some(Box::pin(Limited::new(rest, limit)))));
            }
        }
        Ok(Self::Whole(begun.freeze()))
    }

    /// Takes the body for one attempt; none if it was sent already and can't be sent again.
    pub fn take(&mut self) -> Option<RequestBody> {
        match self {
            Self::Whole(bytes) => {
                let body = Full::new(bytes.clone()).map_err(|never| match never {});
                Some(Box::pin(body))
            }
            Self::Stream(body) => body.take(),
        }
    }

    /// The bytes of the body, if it was read whole.
    pub fn whole(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone()),
            Self::Stream(_) => None,
        }
    }

    /// Tells whether [`CallerBody::take`] gives a body once more.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Stream(None))
    }
}

/// A body of which a part was read already.
struct Begun {
    begun: Option<Bytes>,
    rest: Incoming,
}

impl Body for Begun {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.begun.take() {
            Some(begun) => Poll::Ready(Some(Ok(Frame::data(begun)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.begun.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // The rest is of unknown length, as the whole was.
        SizeHint::default()
    }
}
