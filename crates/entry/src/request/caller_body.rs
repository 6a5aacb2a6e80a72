//! The body of a caller's request.

use super::body::{BodyError, RequestBody};
use super::problem::Problem;
use super::unread;
use super::upload::Upload;
use crate::connection::open_connections::OpenConnection;
use crate::process::held_bytes::hold;
use crate::process::instance::Instance;
use crate::process::room;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use steering::machine::Reservation;

/// Longest body in bytes that is buffered before the request is sent: twice a large upload, and small
/// compared with the memory of the smallest instance.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Bytes that a buffer has at first for a body of unknown length.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Memory in bytes of a body that is forwarded as it arrives, in the buffers of its two connections.
const STREAM_BYTES: usize = 64 * 1024;

/// The body of a caller's request.
pub enum CallerBody {
    /// It was read completely and can be sent more than once.
    Buffered(Bytes),
    /// It is forwarded as it arrives, and can be sent once.
    Streaming(Option<RequestBody>),
}

/// What reading a body needs to know.
pub(super) struct BodyReader<'a> {
    pub(super) instance: &'a Instance,
    /// The connection that it arrives on, if that is known.
    pub(super) connection: Option<Rc<OpenConnection>>,
    pub(super) service: &'a Arc<str>,
    /// Identity of the request; empty if it has none.
    pub(super) request_id: &'a str,
    /// Longest body in bytes.
    pub(super) limit_bytes: u64,
}

impl BodyReader<'_> {
    /// Buffers the body if it is short, with a known length or in chunks.
    ///
    /// A buffered body can be sent again, and compared with the bodies of other requests.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer than the limit or truncated, or if there is no memory for it.
    pub(super) async fn read(&self, mut body: Incoming) -> Result<CallerBody, Problem> {
        if body.is_end_stream() {
            return Ok(CallerBody::Buffered(Bytes::new()));
        }
        let awaited = AwaitedBody::begin(self);
        let read = self.read_part(&mut body).await;
        awaited.finish();
        match read {
            Ok((bytes, reservation, true)) => Ok(CallerBody::Buffered(hold(bytes, reservation))),
            Ok((prefix, reservation, false)) => {
                let prefix = Some(prefix).filter(|prefix| !prefix.is_empty());
                Ok(CallerBody::Streaming(Some(self.stream(prefix, body, reservation))))
            }
            Err(problem) => {
                unread::drain(body);
                Err(problem)
            }
        }
    }

    /// Reads a short body, or a part of a long one; returns what was read, its memory, and whether it is all.
    async fn read_part(&self, body: &mut Incoming) -> Result<(Bytes, Reservation, bool), Problem> {
        let too_long = Problem::BodyTooLong { limit_bytes: self.limit_bytes };
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > self.limit_bytes) {
            return Err(too_long);
        }
        let mut reservation = self.instance.memory.begin();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES) {
            self.reserve(&mut reservation, STREAM_BYTES).await?;
            return Ok((Bytes::new(), reservation, false));
        }
        let mut capacity = length.unwrap_or(FIRST_BUFFER_BYTES);
        self.reserve(&mut reservation, capacity).await?;
        let mut buffer = BytesMut::with_capacity(capacity);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Problem::BodyTruncated)?;
            let Ok(data) = frame.into_data() else { continue };
            let read_bytes = buffer.len() + data.len();
            if read_bytes as u64 > self.limit_bytes {
                return Err(too_long);
            }
            if read_bytes > capacity {
                capacity = read_bytes.next_power_of_two();
                self.reserve(&mut reservation, capacity).await?;
                buffer.reserve(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
            if read_bytes > MAX_BUFFERED_BYTES {
                return Ok((buffer.freeze(), reservation, false));
            }
        }
        Ok((buffer.freeze(), reservation, true))
    }

    async fn reserve(&self, reservation: &mut Reservation, bytes: usize) -> Result<(), Problem> {
        match room::reserve(self.instance, reservation, bytes).await {
            true => Ok(()),
            false => Err(Problem::no_memory()),
        }
    }

    /// A body that is forwarded as it arrives.
    fn stream(
        &self,
        prefix: Option<Bytes>,
        unread: Incoming,
        reservation: Reservation,
    ) -> RequestBody {
        let limit = usize::try_from(self.limit_bytes).unwrap_or(usize::MAX);
        let upload = Upload::new(unread, self.connection.clone(), self.service, reservation);
        Box::pin(Limited::new(PartiallyRead { prefix, unread: upload }, limit))
    }
}

/// A body of which the rest is awaited.
///
/// Dropping it means that its connection has ended, by its caller or for lack of room.
struct AwaitedBody<'a> {
    reader: &'a BodyReader<'a>,
    is_finished: bool,
}

impl<'a> AwaitedBody<'a> {
    fn begin(reader: &'a BodyReader<'a>) -> Self {
        if let Some(connection) = &reader.connection {
            connection.await_body();
        }
        Self { reader, is_finished: false }
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for AwaitedBody<'_> {
    fn drop(&mut self) {
        if let Some(connection) = &self.reader.connection {
            connection.end_body();
        }
        if !self.is_finished {
            log::info!(
                target: "request",
                id = self.reader.request_id, service = &**self.reader.service;
                "body incomplete: not sent"
            );
        }
    }
}

impl CallerBody {
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

/// A body of which a prefix may have been read.
struct PartiallyRead {
    prefix: Option<Bytes>,
    unread: Upload,
}

impl Body for PartiallyRead {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.unread).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.unread.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.prefix {
            // Only bodies of unknown length are read in part.
            Some(_) => SizeHint::default(),
            None => self.unread.size_hint(),
        }
    }
}
