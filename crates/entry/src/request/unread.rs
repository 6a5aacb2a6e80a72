//! The rest of a body whose request has been refused.

use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Bytes that are read of it: as many as are buffered of a body several times over.
const MAX_DRAINED_BYTES: usize = 1024 * 1024;

/// Time for which it is read.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Reads the rest of a body for a while and drops it: closing a connection with unread bytes resets it, and a caller
/// that still writes might lose the response with it.
///
/// Must be called within a task of the instance.
pub(super) fn drain(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(timeout(MAX_DRAIN_TIME, async move {
        let mut drained_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            drained_bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
            if drained_bytes > MAX_DRAINED_BYTES {
                return;
            }
        }
    }));
}
