//! What a transport tells the process: calls, refusals, bytes.

use super::HandshakeError;
use crate::{PeerError, RequestKind, Stream};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Is told what happens on connections between instances.
pub trait Observer: Send + Sync + 'static {
    /// Takes note of an event.
    fn observe(&self, event: TransportEvent);
}

/// What happened.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TransportEvent {
    /// A call of ours ended.
    Called {
        /// What was called.
        kind: RequestKind,
        /// Why it failed, if it did.
        error: Option<PeerError>,
    },
    /// A request of another instance was answered.
    Answered(RequestKind),
    /// A request or connection of another instance was refused.
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
    /// The message is too large.
    TooLarge,
    /// The message is malformed.
    Malformed,
    /// The request is of a kind that this release does not know.
    UnknownKind,
    /// Too many requests are being answered.
    Busy,
    /// No answer was found in time.
    Timeout,
    /// Too many connections are open.
    Connections,
}

impl Refusal {
    /// Returns the refusal's name as a label of metrics.
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

/// A stream whose bytes are counted.
pub(super) struct Counted<S> {
    stream: S,
    observer: Arc<dyn Observer>,
}

impl<S: Stream> Counted<S> {
    pub(super) fn new(stream: S, observer: Arc<dyn Observer>) -> Self {
        Self { stream, observer }
    }
}

impl<S: Stream> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        self.observer.observe(TransportEvent::Received(count as u64));
        Poll::Ready(Ok(()))
    }
}

impl<S: Stream> AsyncWrite for Counted<S> {
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
