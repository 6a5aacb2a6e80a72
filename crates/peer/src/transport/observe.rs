//! Events of a transport, for metrics: calls, refusals, transferred bytes.

use super::HandshakeError;
use crate::{PeerError, RequestKind, Stream};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Receives events of connections between instances.
pub trait Observer: Send + Sync + 'static {
    /// Records an event.
    fn observe(&self, event: TransportEvent);
}

/// An event on a connection between instances.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TransportEvent {
    /// An outgoing call ended.
    Called {
        /// Kind of the request.
        kind: RequestKind,
        /// Why it failed, if it did.
        error: Option<PeerError>,
    },
    /// A request from another instance was handled.
    Answered(RequestKind),
    /// A request or connection from another instance was refused.
    Refused(Refusal),
    /// A handshake failed, on a connection from or to another instance.
    HandshakeFailed(HandshakeError),
    /// Bytes were sent.
    Sent(u64),
    /// Bytes were received.
    Received(u64),
}

/// Why a request or connection was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The request or its reply exceeds the maximum message size.
    TooLarge,
    /// The message is malformed.
    Malformed,
    /// The request is of a kind unknown to this release.
    UnknownKind,
    /// Too many requests are being handled.
    Busy,
    /// Handling the request failed or did not complete before the timeout.
    Timeout,
    /// Too many connections are open.
    Connections,
}

impl Refusal {
    /// Returns the name used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::TooLarge => "too_large",
            Refusal::Malformed => "malformed",
            Refusal::UnknownKind => "unknown_kind",
            Refusal::Busy => "busy",
            Refusal::Timeout => "timeout",
            Refusal::Connections => "connections",
        }
    }
}

/// A stream that reports the number of transferred bytes.
pub(super) struct CountingStream<S> {
    stream: S,
    observer: Arc<dyn Observer>,
}

impl<S: Stream> CountingStream<S> {
    pub(super) fn new(stream: S, observer: Arc<dyn Observer>) -> Self {
        Self { stream, observer }
    }
}

impl<S: Stream> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - filled_before;
        self.observer.observe(TransportEvent::Received(count as u64));
        Poll::Ready(Ok(()))
    }
}

impl<S: Stream> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.observer.observe(TransportEvent::Sent(count as u64));
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
