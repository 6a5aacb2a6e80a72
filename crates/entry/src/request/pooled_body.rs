//! Long bodies of answers, after which the connection may be used again.

use super::body::BodyError;
use crate::connection::pool::{Connection, Pools};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// A long answer's body, passed on as it comes.
///
/// The connection is used again only if the body was whole; in every other case, the reader's going away
/// included, it is closed.
pub(super) struct KeptBody {
    incoming: Incoming,
    pools: Pools,
    /// The connection and the time for which it stays open, if it is to be used again.
    kept: Option<(Connection, Option<Duration>)>,
}

impl KeptBody {
    /// A body that came over a connection of the pools.
    pub(super) fn new(
        incoming: Incoming,
        pools: Pools,
        kept: Option<(Connection, Option<Duration>)>,
    ) -> Self {
        Self { incoming, pools, kept }
    }
}

impl Body for KeptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            None => {
                if let Some((connection, rest)) = self.kept.take() {
                    self.pools.keep(connection, rest);
                }
            }
            Some(Err(_)) => self.kept = None,
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|error| Box::new(error) as BodyError)))
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
