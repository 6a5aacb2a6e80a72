//! Telling callers which instances to use.

use super::body::{AnswerBody, whole};
use crate::process::instance::Instance;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;

/// Time that callers keep an answer: the time in which a planned stop moves them, and a third of
/// the time in which a lost instance may still be named.
const TTL: Duration = Duration::from_secs(2);

/// Answers a look-up.
pub(crate) async fn answer(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let Some(look_up) = instance.wire.decode_look_up(request.uri()) else {
        instance.metrics.look_ups.with_label_values(&["invalid"]).inc();
        return status(StatusCode::BAD_REQUEST);
    };
    let addresses = instance.look_up(&look_up.availability_zone, &look_up.region);
    if addresses.is_empty() {
        instance.metrics.look_ups.with_label_values(&["no-instance"]).inc();
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    instance.metrics.look_ups.with_label_values(&["answered"]).inc();
    let ttl = TTL.min(instance.settings.max_ttl);
    let mut response = Response::new(whole(instance.wire.encode_look_up_response(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(""));
    *response.status_mut() = status;
    response
}
