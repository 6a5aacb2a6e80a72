//! Hop-by-hop headers.

use http::HeaderMap;
use http::header::CONNECTION;
use std::time::Duration;

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Idle timeout of the connection from the `keep-alive` header, if there is one.
///
/// # Errors
///
/// Fails if the other side closes the connection after this message.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Result<Option<Duration>, ConnectionClose> {
    let is_closing = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if is_closing {
        return Err(ConnectionClose);
    }
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    Ok(seconds.map(Duration::from_secs))
}

/// The other side closes the connection after its response.
#[derive(Debug)]
pub(super) struct ConnectionClose;
