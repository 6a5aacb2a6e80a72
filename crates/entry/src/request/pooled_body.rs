//! Streamed response bodies that return their connection to the pool.

use super::body::BodyError;
use super::server_stream::ServerStream;
use crate::connection::pool::{Connection, Pools};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The body of a long response, forwarded as it arrives.
///
/// The connection returns to the pool only after a complete body; otherwise, for example if the reader
/// disconnects, it is closed.
pub(super) struct PooledBody {
    incoming: ServerStream,
    pools: Pools,
    /// The connection and its idle timeout, if it may be reused.
    reusable: Option<(Connection, Option<Duration>)>,
}

impl PooledBody {
    /// A body that arrives over a connection of the pools.
    pub(super) fn new(
        incoming: ServerStream,
        pools: Pools,
        reusable: Option<(Connection, Option<Duration>)>,
    ) -> Self {
        Self { incoming, pools, reusable }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            None => {
                if let Some((connection, idle_timeout)) = self.reusable.take() {
                    self.pools.release(connection, idle_timeout);
                }
            }
            Some(Err(_)) => self.reusable = None,
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|error| Box::new(error) as BodyError)))
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
