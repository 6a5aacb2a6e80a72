//! Connections on which an instance waits for the caller, and the one to end first.

use std::time::Duration;

/// Shortest wait after which something that has begun may be ended; a caller within its limits may need as long for a
/// packet that is lost twice.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// What an instance waits for on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// The next request, or the rest of its head.
    Request,
    /// The rest of a body, of which nothing has been sent on.
    Body,
    /// The rest of a body that is sent on as it arrives.
    Upload,
    /// That the caller reads its response.
    Reader,
}

impl Waiting {
    /// Shortest wait after which the connection may be ended.
    fn min_wait(self) -> Duration {
        match self {
            Self::Request => Duration::ZERO,
            Self::Body | Self::Upload | Self::Reader => MIN_WAIT,
        }
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Body => "body",
            Self::Upload => "upload",
            Self::Reader => "reader",
        }
    }
}

/// The connection to end when there is no room: the one without a request that waits longest, as its caller loses
/// nothing, else the one that waits longest for something that has begun. `None` if none waits long enough.
pub fn longest_waiting<K>(
    connections: impl Iterator<Item = (K, Waiting, Duration)>,
) -> Option<(K, Waiting, Duration)> {
    connections
        .filter(|(_, waiting, waited)| *waited >= waiting.min_wait())
        .max_by_key(|(_, waiting, waited)| (*waiting == Waiting::Request, *waited))
}
