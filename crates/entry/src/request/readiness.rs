//! Telling whether callers should be sent here.

use super::body::{AnswerBody, whole};
use crate::process::instance::Instance;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// Answers 200 while the instance takes callers, else 503.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut response = Response::new(whole(""));
    *response.status_mut() = match instance.wire.is_readiness(request.uri().path()) {
        false => StatusCode::NOT_FOUND,
        true if instance.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
