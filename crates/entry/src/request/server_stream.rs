//! The body of a backend server's response as it arrives, checked against its framing.

use crate::connection::remainder::Remainder;
use crate::connection::response::{Framing, ResponseError};
use crate::connection::unframed::UnframedBody;
use bytes::Bytes;
use futures::FutureExt;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Why a body is not the server's whole body.
#[derive(Debug, thiserror::Error)]
pub enum ServerBodyError {
    /// It is truncated, or its chunks are not valid.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// It does not end where the head says.
    #[error(transparent)]
    Framing(#[from] ResponseError),
}

/// A body as it arrives; it fails in place of its last bytes if it does not end where the head says.
pub struct ServerStream {
    incoming: Incoming,
    /// The length that the head states.
    length: Option<u64>,
    /// A frame that was taken from `incoming` before the reader asked for it.
    taken: Option<Frame<Bytes>>,
    /// Looks through a body whose end is that of its connection; boxed, as few bodies are like that.
    unframed: Option<Box<UnframedBody>>,
    remainder: Remainder,
}

impl ServerStream {
    /// A body with the framing that its head states, and what follows it on its connection.
    pub fn new(incoming: Incoming, framing: Framing, remainder: Remainder) -> Self {
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let unframed = (framing == Framing::UntilClose).then(Box::default);
        Self { incoming, length, taken: None, unframed, remainder }
    }

    /// Length in bytes, if the head states one.
    pub(super) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the body has no bytes and ended before it was read.
    ///
    /// # Errors
    ///
    /// Fails if the body is known by now to be broken; later the caller would have the head already, or get
    /// nothing if both are written at once.
    pub(super) fn has_ended_early(&mut self) -> Result<bool, ServerBodyError> {
        if self.incoming.is_end_stream() {
            self.check_remainder()?;
            return Ok(true);
        }
        match self.frame().now_or_never() {
            Some(None) => Ok(true),
            Some(Some(frame)) => {
                self.taken = Some(frame?);
                Ok(false)
            }
            None => Ok(false),
        }
    }

    /// Checks that no more of the body follows its length.
    ///
    /// # Errors
    ///
    /// Fails if bytes follow that are no other response.
    pub(super) fn check_remainder(&self) -> Result<(), ResponseError> {
        match self.incoming.is_end_stream() && self.remainder.is_foreign() {
            true => Err(ResponseError::BodyAfterLength),
            false => Ok(()),
        }
    }

    fn check(&mut self, frame: Option<&Frame<Bytes>>) -> Result<(), ResponseError> {
        self.check_remainder()?;
        match (&mut self.unframed, frame) {
            (Some(unframed), Some(frame)) => {
                unframed.push(frame.data_ref().map_or(&[], |data| data))
            }
            (Some(unframed), None) => unframed.end(),
            (None, _) => Ok(()),
        }
    }
}

impl Body for ServerStream {
    type Data = Bytes;
    type Error = ServerBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ServerBodyError>>> {
        if let Some(frame) = self.taken.take() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context)).transpose()?;
        self.check(frame.as_ref())?;
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.taken.is_none() && self.unframed.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.incoming.size_hint();
        match self.taken.as_ref().and_then(Frame::data_ref) {
            Some(taken) => {
                left.exact().map_or(left, |exact| SizeHint::with_exact(exact + taken.len() as u64))
            }
            None => left,
        }
    }
}
