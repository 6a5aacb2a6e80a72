//! Responses of this instance's own, as long as their bodies are in memory.

use super::body::{ResponseBody, full_body};
use crate::process::held_bytes::hold;
use crate::process::instance::Instance;
use crate::process::room;
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};

/// A response with bytes whose memory is reserved until they have been written; a refusal if there is none.
pub(super) async fn held_response(instance: &Instance, bytes: Bytes) -> Response<ResponseBody> {
    let mut reservation = instance.memory.begin_internal();
    if room::reserve(instance, &mut reservation, bytes.len()).await {
        return Response::new(full_body(hold(bytes, reservation)));
    }
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
