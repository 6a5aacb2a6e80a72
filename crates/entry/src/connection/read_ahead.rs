//! Reads a caller's connection while a request is being answered, to detect its end.
//!
//! hyper does not read while it holds bytes of the next request, so it does not notice that a caller
//! with pipelined requests has disconnected.

use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest number of bytes read at once.
const PIECE_BYTES: usize = 4096;

/// A connection whose bytes can be read before its reader asks for them.
///
/// Clones share the connection.
pub struct ReadAhead<S>(Rc<RefCell<State<S>>>);

struct State<S> {
    stream: S,
    /// Bytes that the reader has not taken yet.
    unread: BytesMut,
    /// When the last bytes of `unread` were read from the stream.
    unread_since: Instant,
    /// When the last bytes that the reader has taken were read from the stream.
    last_read_at: Instant,
    /// Largest length of `unread`.
    max_bytes: usize,
    /// Whether the reader itself waits for the stream.
    is_reader_waiting: bool,
    /// Since when the other side takes nothing of what is written.
    write_blocked_since: Option<Instant>,
}

impl<S> State<S> {
    /// Records whether the other side takes what is written.
    fn record_write<T>(&mut self, written: Poll<T>) -> Poll<T> {
        if written.is_ready() {
            self.write_blocked_since = None;
        } else {
            self.write_blocked_since.get_or_insert_with(Instant::now);
        }
        written
    }
}

impl<S> Clone for ReadAhead<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> ReadAhead<S> {
    /// Wraps a connection of which at most `max_bytes` are read ahead.
    pub fn new(stream: S, max_bytes: usize) -> Self {
        let now = Instant::now();
        Self(Rc::new(RefCell::new(State {
            stream,
            unread: BytesMut::new(),
            unread_since: now,
            last_read_at: now,
            max_bytes,
            is_reader_waiting: false,
            write_blocked_since: None,
        })))
    }

    /// Number of bytes read ahead that the reader has not taken yet.
    pub fn unread_bytes(&self) -> usize {
        self.0.borrow().unread.len()
    }

    /// When the last bytes that the reader has taken were read from the stream.
    pub fn last_read_at(&self) -> Instant {
        self.0.borrow().last_read_at
    }

    /// Since when the other side takes nothing of what is written; `None` while it does, or nothing is.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.borrow().write_blocked_since
    }

    /// Forgets that the reader waits for the stream; call before polling the reader.
    pub fn begin_poll(&self) {
        self.0.borrow_mut().is_reader_waiting = false;
    }

    /// Reads ahead; ready when the other side has closed or reset the connection.
    ///
    /// Does nothing while the reader itself waits for the stream, or when `max_bytes` are unread.
    pub fn poll_end(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.0.borrow_mut();
        if state.is_reader_waiting {
            return Poll::Pending;
        }
        loop {
            let room = state.max_bytes.saturating_sub(state.unread.len()).min(PIECE_BYTES);
            if room == 0 {
                return Poll::Pending;
            }
            let mut piece = [0; PIECE_BYTES];
            let mut piece = ReadBuf::new(&mut piece[..room]);
            let read = ready!(Pin::new(&mut state.stream).poll_read(context, &mut piece));
            // A reset ends the connection like a close.
            if read.is_err() || piece.filled().is_empty() {
                return Poll::Ready(());
            }
            state.unread.extend_from_slice(piece.filled());
            state.unread_since = Instant::now();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &mut *self.0.borrow_mut();
        if state.unread.is_empty() {
            let read = Pin::new(&mut state.stream).poll_read(context, buffer);
            state.is_reader_waiting = read.is_pending();
            if read.is_ready() {
                state.last_read_at = Instant::now();
            }
            return read;
        }
        let count = state.unread.len().min(buffer.remaining());
        state.last_read_at = state.unread_since;
        buffer.put_slice(&state.unread[..count]);
        state.unread.advance(count);
        if state.unread.is_empty() {
            // An idle connection keeps no buffer.
            state.unread = BytesMut::new();
        }
        state.is_reader_waiting = false;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let state = &mut *self.0.borrow_mut();
        let written = Pin::new(&mut state.stream).poll_write(context, bytes);
        state.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let state = &mut *self.0.borrow_mut();
        let written = Pin::new(&mut state.stream).poll_write_vectored(context, slices);
        state.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}
