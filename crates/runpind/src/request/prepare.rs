//! Prepares a request for forwarding.

use super::body::{Body, BodyError};
use super::headers::remove_hop_by_hop;
use http::header::HOST;
use http::{HeaderValue, Request, Uri, Version as HttpVersion};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Returns the request to forward: HTTP/1.1, in origin form, without hop-by-hop headers.
pub(super) fn prepare(request: Request<Incoming>) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    // The request target takes precedence over the `Host` header (RFC 9112, section 3.2.2).
    if let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(HOST, host);
    }
    if let Some(path) = parts.uri.path_and_query() {
        parts.uri = Uri::from(path.clone());
    }
    parts.version = HttpVersion::HTTP_11;
    Request::from_parts(parts, body.map_err(BodyError::Truncated).boxed())
}
