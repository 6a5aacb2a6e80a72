//! Timeout for the head of a request, from its first byte on.
//!
//! hyper's own timeout for the head begins when the connection becomes idle, so it serves as the idle
//! timeout.

use http_body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::time::{Instant, Sleep};
use tokio_util::io::InspectReader;

/// Progress of a connection's next request head.
#[derive(Debug, Default)]
pub(super) struct HeadProgress {
    /// Time at which the first byte of an incomplete head was received.
    head_began_at: Cell<Option<Instant>>,
    /// Number of requests that are being answered.
    answering_count: Cell<u32>,
}

impl HeadProgress {
    /// Records a complete head; the next one begins after the response.
    pub(super) fn head_complete(self: &Rc<Self>) -> AnsweringGuard {
        self.head_began_at.set(None);
        self.answering_count.set(self.answering_count.get() + 1);
        AnsweringGuard(self.clone())
    }

    /// Whether a request is being answered.
    pub(super) fn is_answering(&self) -> bool {
        self.answering_count.get() > 0
    }

    fn bytes_received(&self) {
        if !self.is_answering() && self.head_began_at.get().is_none() {
            self.head_began_at.set(Some(Instant::now()));
        }
    }
}

/// Counts a request as being answered until this is dropped.
#[derive(Debug)]
pub(super) struct AnsweringGuard(Rc<HeadProgress>);

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.answering_count.set(self.0.answering_count.get() - 1);
    }
}

/// The body of a response; dropping it, and its guard, marks the request as answered.
pub(super) struct GuardedBody<B, G> {
    pub(super) body: B,
    pub(super) _guard: G,
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Wraps a caller's connection to record in `progress` when bytes are received.
pub(super) fn track_reads<S: AsyncRead>(
    stream: S,
    progress: Rc<HeadProgress>,
) -> InspectReader<S, impl FnMut(&[u8])> {
    InspectReader::new(stream, move |bytes: &[u8]| {
        // An empty read is the end of the connection.
        if !bytes.is_empty() {
            progress.bytes_received();
        }
    })
}

/// Timeout for request heads; check [`HeadTimer::has_expired`] after each poll of the connection.
pub(super) struct HeadTimer {
    progress: Rc<HeadProgress>,
    timeout: Duration,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    /// A timer that runs only while a head is incomplete.
    pub(super) fn new(progress: Rc<HeadProgress>, timeout: Duration) -> Self {
        Self { progress, timeout, sleep: None }
    }

    /// Whether a head takes too long; otherwise the task is woken when it does.
    pub(super) fn has_expired(&mut self, context: &mut Context<'_>) -> bool {
        let Some(head_began_at) = self.progress.head_began_at.get() else {
            self.sleep = None;
            return false;
        };
        let expires_at = head_began_at + self.timeout;
        let sleep =
            self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(expires_at)));
        if sleep.deadline() != expires_at {
            sleep.as_mut().reset(expires_at);
        }
        sleep.as_mut().poll(context).is_ready()
    }
}
