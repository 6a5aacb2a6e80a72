//! The body of a backend server's response as it arrives, checked against its framing.

use crate::connection::remainder::Remainder;
use crate::connection::response::{Framing, ResponseError};
use crate::connection::unframed::UnframedBody;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
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
        Self { incoming, length, unframed, remainder }
    }

    /// Length in bytes, if the head states one.
    pub(super) fn length(&self) -> Option<u64> {
        self.length
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
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context)).transpose()?;
        self.check(frame.as_ref())?;
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.unframed.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
