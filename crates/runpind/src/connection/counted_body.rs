//! The body of a response, which counts its request as under way.

use super::open_connections::UnderWay;
use crate::request::body::{Body, BodyError};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response, whose request is under way until this is dropped.
pub(super) struct CountedBody {
    pub(super) body: Body,
    pub(super) _under_way: UnderWay,
}

impl http_body::Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
