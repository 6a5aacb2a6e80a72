//! Deadlines of requests.

use super::headers::TIMEOUT_HEADER;
use super::problem::Problem;
use configuration::Class;
use http::HeaderMap;
use std::time::Duration;
use tokio::time::Instant;

/// Longest timeout of a request; a longer one is shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the request's deadline, from its timeout header or else from the default of its class.
///
/// The default of an upload is the longest timeout, because its duration depends on its size.
pub(super) fn from_headers(
    headers: &HeaderMap,
    class: Class,
    default_timeout_ms: u64,
) -> Result<Instant, Problem> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(Instant::now()
            + match class {
                Class::Upload => MAX_TIMEOUT,
                Class::Read | Class::Write => Duration::from_millis(default_timeout_ms),
            });
    };
    let timeout_ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match timeout_ms {
        Some(timeout_ms) => Ok(Instant::now() + Duration::from_millis(timeout_ms).min(MAX_TIMEOUT)),
        None => Err(Problem::BadHeader {
            name: TIMEOUT_HEADER,
            expected: "a whole number of milliseconds",
        }),
    }
}
