//! The time that a caller may take for the head of a request, from its first byte on.
//!
//! The library's own limit begins when the connection rests, so it is the limit of the rest.

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

/// Where a connection is between two requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Time at which the first byte of a head came that is not whole yet.
    began_at: Cell<Option<Instant>>,
    /// Requests that are being answered.
    answering: Cell<u32>,
}

impl Progress {
    /// Notes that a head is whole; the next one begins after the answer.
    pub(super) fn head_is_whole(self: &Rc<Self>) -> Answering {
        self.began_at.set(None);
        self.answering.set(self.answering.get() + 1);
        Answering(self.clone())
    }

    fn bytes_came(&self) {
        if self.answering.get() == 0 && self.began_at.get().is_none() {
            self.began_at.set(Some(Instant::now()));
        }
    }
}

/// Counts a request as being answered until it is dropped.
#[derive(Debug)]
pub(super) struct Answering(Rc<Progress>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.answering.set(self.0.answering.get() - 1);
    }
}

/// The body of an answer, which ends the answering when it is dropped.
pub(super) struct TimedBody<B> {
    pub(super) body: B,
    pub(super) _answering: Answering,
}

impl<B: Body + Unpin> Body for TimedBody<B> {
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

/// A caller's connection that notes in `progress` when bytes come.
pub(super) fn timed<S: AsyncRead>(
    stream: S,
    progress: Rc<Progress>,
) -> InspectReader<S, impl FnMut(&[u8])> {
    InspectReader::new(stream, move |bytes: &[u8]| {
        // Nothing comes at the end of the connection.
        if !bytes.is_empty() {
            progress.bytes_came();
        }
    })
}

/// Drives a connection; [`HeadTimer::is_late`] after it was polled tells to give it up.
pub(super) struct HeadTimer {
    progress: Rc<Progress>,
    limit: Duration,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    /// A timer that sleeps only while a head has begun and is not whole.
    pub(super) fn new(progress: Rc<Progress>, limit: Duration) -> Self {
        Self { progress, limit, sleep: None }
    }

    /// Tells whether a head takes too long; otherwise the task is woken when it does.
    pub(super) fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let Some(began_at) = self.progress.began_at.get() else {
            self.sleep = None;
            return false;
        };
        let ends_at = began_at + self.limit;
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(ends_at)));
        if sleep.deadline() != ends_at {
            sleep.as_mut().reset(ends_at);
        }
        sleep.as_mut().poll(context).is_ready()
    }
}
