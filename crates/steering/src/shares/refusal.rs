//! Refusals to acquire from a share, with the time of the next retry.

use crate::Time;
use std::time::Duration;
use thiserror::Error;

/// Retry delay where no earlier time is known: grants are requested twice within it.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Which share is exhausted.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum RefusalCause {
    /// Requests per second on the link.
    #[error("the share of the link is exhausted")]
    Link,
    /// Slots at the site.
    #[error("the share of the site's slots is exhausted")]
    Site,
    /// This instance currently has no share of the link or site.
    #[error("this instance currently has no share of the link or site")]
    NoShare,
}

impl RefusalCause {
    /// Returns the label value used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCause::Link => "link",
            RefusalCause::Site => "site",
            RefusalCause::NoShare => "no-share",
        }
    }
}

/// A refusal to acquire; nothing was acquired.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{cause}")]
pub struct ShareRefusal {
    /// Which share is exhausted.
    pub cause: RefusalCause,
    /// Earliest time at which a retry may succeed, if known.
    pub retry_at: Option<Time>,
}

impl ShareRefusal {
    /// Returns how long to wait before a retry.
    pub fn retry_after(&self, now: Time) -> Duration {
        self.retry_at.map_or(DEFAULT_WAIT, |retry_at| retry_at.since(now))
    }
}
