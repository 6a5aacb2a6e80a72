//! The body of a caller's request.

use super::body::RequestBody;
use super::problem::Problem;
use bytes::Bytes;
use http::Request;
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

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
    /// Reads the body, if it is short.
    ///
    /// # Errors
    ///
    /// Says that it is too long or was cut.
    pub async fn read(request: Request<Incoming>, limit_bytes: u64) -> Result<Self, Problem> {
        let body = request.into_body();
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(Problem::BodyTooLong { limit_bytes });
        }
        if length.is_some_and(|length| length <= WHOLE_BYTES) {
            let read = body.collect().await.map_err(|_| Problem::BodyCut)?;
            return Ok(Self::Whole(read.to_bytes()));
        }
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        Ok(Self::Stream(Some(Box::pin(Limited::new(body, limit)))))
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
