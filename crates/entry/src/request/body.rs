//! Bodies of requests and answers.

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;

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
