//! Headers that concern one connection only, and those that runpin reads.

use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// Timeout of a request in milliseconds, set by the caller and passed on with what is left.
pub(super) const TIMEOUT_HEADER: &str = "runpin-timeout-ms";

/// The tenant that a request belongs to; tenants that wait for room get it in turn.
pub(super) const TENANT_HEADER: &str = "runpin-tenant";

/// The caller's address, believed only when the settings say so.
pub(super) const CALLER_HEADER: &str = "runpin-caller-address";

/// Headers that end at this connection (RFC 9110, section 7.6.1).
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

/// Removes the headers that concern one connection only, those named by `Connection` included.
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
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Tells whether the sender closes the connection after this message.
pub(super) fn closes_connection(headers: &HeaderMap<HeaderValue>) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
