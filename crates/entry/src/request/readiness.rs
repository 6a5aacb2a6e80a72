//! Readiness checks: whether callers should be sent to this instance.

use super::body::{ResponseBody, full_body};
use crate::process::instance::Instance;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// Answers 200 while the instance accepts callers, else 503.
pub(crate) async fn handle(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = match instance.wire.is_readiness(request.uri().path()) {
        false => StatusCode::NOT_FOUND,
        true if instance.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
