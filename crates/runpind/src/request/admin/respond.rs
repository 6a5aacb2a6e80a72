//! Responses on the address for operators.

use crate::request::body::{self, Body};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

/// Returns a JSON response.
///
/// # Errors
///
/// Fails if the value can't be serialized.
pub(super) fn json<T: Serialize, E: From<serde_json::Error>>(
    status: StatusCode,
    value: &T,
) -> Result<Response<Body>, E> {
    let mut response = Response::new(body::full(serde_json::to_vec(value)?));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

/// Returns a plain text response.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    response
}
