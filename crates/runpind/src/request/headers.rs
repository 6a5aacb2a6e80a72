//! Hop-by-hop headers, and the headers that runpin reads and writes.

use super::problem::Problem;
use entry::connection::response::{CheckedResponse, Framing};
use http::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, TE};
use http::{Method, Request, Response, StatusCode, Version};
use std::borrow::Cow;

/// Timeout of a request in milliseconds, set by the caller; forwarded with the remaining time.
pub(super) const TIMEOUT_HEADER: &str = "runpin-timeout-ms";

/// The tenant that a request belongs to; queued requests are admitted round-robin by tenant.
pub(super) const TENANT_HEADER: &str = "runpin-tenant";

/// The caller's address, trusted only if the settings say so.
pub(super) const CALLER_HEADER: &str = "runpin-caller-address";

/// The only value of `TE` that is forwarded.
const TRAILERS: &str = "trailers";

/// Name of the arm that routed a request, sent with the response so that callers can compare arms.
pub(super) const ARM_HEADER: &str = "runpin-arm";

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let accepts_trailers = headers.get_all(TE).iter().any(|value| value == TRAILERS);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    // Trailers are forwarded, so they are accepted from the receiver if the sender accepts them.
    if accepts_trailers {
        headers.insert(TE, HeaderValue::from_static(TRAILERS));
    }
}

/// Returns the host that a request is for, without its port and in lower case, from the request
/// target or else from the `Host` header.
pub(super) fn request_host<B>(request: &Request<B>) -> Option<Cow<'_, str>> {
    let host = match request.uri().host() {
        Some(host) => host,
        None => without_port(request.headers().get(HOST)?.to_str().ok()?),
    };
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Some(host.to_ascii_lowercase().into()),
        false => Some(host.into()),
    }
}

fn without_port(host: &str) -> &str {
    let is_port = |port: &str| port.bytes().all(|byte| byte.is_ascii_digit());
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name,
        _ => host,
    }
}

/// Refuses versions of HTTP in which a caller can't tell a truncated response from a complete one.
pub(super) fn check_version(version: Version) -> Result<(), Problem> {
    match version < Version::HTTP_11 {
        true => Err(Problem::HttpVersion),
        false => Ok(()),
    }
}

/// Refuses responses that can't be forwarded: a spoilt status or framing, and a body that ends with its
/// connection, because a truncated one looks complete.
pub(super) fn check_response<B>(
    method: &Method,
    response: Response<B>,
) -> Result<Response<B>, Problem> {
    let CheckedResponse { parts, framing, body } =
        CheckedResponse::try_from(response).map_err(|why| {
            log::info!(target: "request", why:%; "response refused");
            Problem::BrokenExchange
        })?;
    let has_no_body = *method == Method::HEAD
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    match framing == Framing::UntilClose && !has_no_body {
        true => Err(Problem::UnboundedResponse),
        false => Ok(Response::from_parts(parts, body)),
    }
}

/// Returns whether the sender closes the connection after this message.
pub(super) fn closes_connection(headers: &HeaderMap<HeaderValue>) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
