//! Limits the bytes that are read from a connection before a response has begun.
//!
//! Interim responses may precede a response in any number, and hyper reads them for as long as they come.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read from a connection; clones share them.
#[derive(Clone, Debug)]
pub struct ReadBudget(Rc<Cell<u64>>);

impl ReadBudget {
    /// A budget of a number of bytes.
    pub(super) fn new(bytes: u64) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Allows this many more bytes, instead of those that were left.
    pub(super) fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }

    /// Allows any number of bytes.
    pub(super) fn lift(&self) {
        self.set(u64::MAX);
    }
}

/// The budget of a connection is used up.
#[derive(Debug, thiserror::Error)]
#[error("more bytes than may precede a response")]
struct BudgetUsedUp;

/// Returns whether a connection failed as its budget was used up: the other side is there, whatever it sends.
pub(crate) fn is_used_up(error: &io::Error) -> bool {
    error.get_ref().is_some_and(|inner| inner.is::<BudgetUsedUp>())
}

/// A stream of which no more bytes are read than its budget allows.
pub(super) struct BudgetedStream<S> {
    pub(super) stream: S,
    pub(super) budget: ReadBudget,
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = (buffer.filled().len() - before) as u64;
        let left = self.budget.0.get().checked_sub(read);
        let left = left.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, BudgetUsedUp))?;
        self.budget.set(left);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
