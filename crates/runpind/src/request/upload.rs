//! The body of a request on its way to a backend server.

use super::body::{Body, BodyError};
use crate::process::uploads::{UploadGuard, Uploads};
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A body that is ended if it stands still while its slot is needed.
struct UploadBody {
    body: Body,
    uploads: Arc<Uploads>,
    service: Arc<str>,
    /// Set once the body is on its way.
    guard: Option<UploadGuard>,
}

/// Wraps the body of a request of a service, unless it is empty.
pub(super) fn upload(body: Body, uploads: &Arc<Uploads>, service: &Arc<str>) -> Body {
    if http_body::Body::is_end_stream(&body) {
        return body;
    }
    let (uploads, service) = (uploads.clone(), service.clone());
    UploadBody { body, uploads, service, guard: None }.boxed()
}

impl http_body::Body for UploadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Self { body, uploads, service, guard } = &mut *self;
        let guard = guard.get_or_insert_with(|| uploads.add(service));
        if guard.is_ended(context.waker()) {
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        }
        let frame = Pin::new(body).poll_frame(context);
        guard.set_awaited(frame.is_pending());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
