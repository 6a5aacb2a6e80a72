//! Look-ups: which instances a caller should use.

use super::body::{ResponseBody, full_body};
use crate::process::instance::Instance;
use crate::process::stop;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for which callers may cache a response: a third of the time for which a lost instance
/// may still be listed.
const MAX_TTL: Duration = Duration::from_secs(2);

/// Answers a look-up with the addresses of instances.
pub(crate) async fn handle(
    instance: Rc<Instance>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(look_up) = instance.wire.decode_look_up(request.uri()) else {
        instance.metrics.look_ups.with_label_values(&["invalid"]).inc();
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let addresses = instance.look_up(&look_up.availability_zone, &look_up.region);
    if addresses.is_empty() {
        instance.metrics.look_ups.with_label_values(&["no-instance"]).inc();
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    instance.metrics.look_ups.with_label_values(&["answered"]).inc();
    // Callers with an older response must learn of a planned stop before the listeners close.
    let leaving_time = stop::leaving_time(instance.settings.stop_grace);
    let ttl = MAX_TTL.min(instance.settings.max_ttl).min(leaving_time);
    let mut response =
        Response::new(full_body(instance.wire.encode_look_up_response(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}
