//! Bodies of requests and answers.

use super::problem::Problem;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request};
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;

/// Longest body that is read before the request is sent: twice a large upload of today, and small
/// next to the memory of the smallest instance.
const WHOLE_BYTES: u64 = 256 * 1024;

/// Longest answer that is read before it is passed on.
const WHOLE_ANSWER_BYTES: u64 = 128 * 1024;

/// Error of a body that is passed on.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Body of a request to a backend server.
pub type RequestBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Body of an answer to a caller.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Makes the body of a short answer.
pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

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

    /// Tells whether [`CallerBody::take`] gives a body once more.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Stream(None))
    }
}

/// An answer's body, read as far as it is short.
pub enum ServerBody {
    /// It was read whole.
    Whole(Bytes),
    /// It is passed on as it comes.
    Stream(Incoming),
}

impl ServerBody {
    /// Reads the body, if its length is known and short.
    ///
    /// # Errors
    ///
    /// Fails if the body was cut.
    pub async fn read(mut body: Incoming, headers: &HeaderMap) -> Result<Self, hyper::Error> {
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let Some(length) = body.size_hint().exact() else { return Ok(Self::Stream(body)) };
        if length > WHOLE_ANSWER_BYTES || !headers.contains_key(CONTENT_LENGTH) {
            return Ok(Self::Stream(body));
        }
        let mut read = BytesMut::new();
        while let Some(frame) = poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            if let Ok(data) = frame?.into_data() {
                read.extend_from_slice(&data);
            }
        }
        Ok(Self::Whole(read.freeze()))
    }
}
