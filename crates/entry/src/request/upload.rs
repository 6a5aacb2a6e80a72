//! The body of a request that is sent on as it arrives.

use super::body::BodyError;
use super::unread;
use crate::connection::open_connections::OpenConnection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use steering::machine::Reservation;

/// A body that is sent on as it arrives; its connection is known to wait for the caller while the rest is awaited.
///
/// If no part of it has been taken when it is dropped, its request has been refused, and the caller still writes.
pub(super) struct Upload {
    /// The body; `None` once it is dropped.
    incoming: Option<Incoming>,
    connection: Option<Rc<OpenConnection>>,
    service: Arc<str>,
    has_begun: bool,
    _reservation: Reservation,
}

impl Upload {
    pub(super) fn new(
        incoming: Incoming,
        connection: Option<Rc<OpenConnection>>,
        service: &Arc<str>,
        reservation: Reservation,
    ) -> Self {
        let (incoming, service) = (Some(incoming), service.clone());
        Self { incoming, connection, service, has_begun: false, _reservation: reservation }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let Some(incoming) = &mut this.incoming else { return Poll::Ready(None) };
        let frame = Pin::new(incoming).poll_frame(context);
        if let Some(connection) = &this.connection {
            if !this.has_begun {
                connection.begin_upload(&this.service);
            }
            connection.set_upload_awaited(frame.is_pending());
        }
        this.has_begun = true;
        frame.map_err(|error| Box::new(error) as BodyError)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let (Some(incoming), false) = (self.incoming.take(), self.has_begun) {
            unread::drain(incoming);
        }
    }
}
