//! What other instances ask.

use super::body::AnswerBody;
use super::{knowledge, relay};
use crate::connection::relay_protocol::Destination;
use crate::process::instance::Instance;
use http::{Request, Response};
use hyper::body::Incoming;
use std::rc::Rc;

/// Answers another instance.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    match Destination::take(request.headers_mut()) {
        Some(destination) => relay::answer(instance, request, destination).await,
        None => knowledge::answer(instance, request).await,
    }
}
