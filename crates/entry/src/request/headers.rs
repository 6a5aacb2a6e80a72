//! Headers that concern one connection only.

use http::HeaderMap;
use http::header::CONNECTION;
use std::time::Duration;

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1).
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

/// The time for which the other side leaves a connection open, if it says one.
///
/// # Errors
///
/// Says that it closes it now.
pub(super) fn rest_of(headers: &HeaderMap) -> Result<Option<Duration>, Closing> {
    let closing = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closing {
        return Err(Closing);
    }
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    Ok(seconds.map(Duration::from_secs))
}

/// The other side closes the connection after its answer.
#[derive(Debug)]
pub(super) struct Closing;
