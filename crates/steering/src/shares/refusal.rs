//! Why nothing could be spent, and when to come back.

use crate::Time;
use std::time::Duration;
use thiserror::Error;

/// Wait named where no better one is known: by then grants have been asked for twice.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Which share was used up.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum RefusalCause {
    /// The requests a second on the link.
    #[error("the share of the link is used up")]
    Link,
    /// The slots at the site.
    #[error("the share of the site's slots is used up")]
    Site,
    /// This instance has no share there at all now.
    #[error("this instance has no share there now")]
    NoShare,
}

impl RefusalCause {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalCause::Link => "link",
            RefusalCause::Site => "site",
            RefusalCause::NoShare => "no-share",
        }
    }
}

/// A refusal to spend; nothing was spent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{cause}")]
pub struct ShareRefusal {
    /// Which share was used up.
    pub cause: RefusalCause,
    /// When it may be worth trying again, where that is known.
    pub retry_at: Option<Time>,
}

impl ShareRefusal {
    /// Returns how long to wait before trying again.
    pub fn retry_after(&self, now: Time) -> Duration {
        self.retry_at.map_or(DEFAULT_WAIT, |retry_at| retry_at.since(now))
    }
}
