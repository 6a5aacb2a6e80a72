//! How an exchange with a backend server ended.

use crate::Time;
use std::time::Duration;

/// How an exchange ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The response was complete.
    Complete,
    /// The backend server rejected the request because it is overloaded (status 503).
    Shed,
    /// The backend server refused the connection.
    Refused,
    /// Nothing was sent, for a reason unrelated to the backend server.
    Unsent,
    /// The connection could not be established, or the exchange broke off.
    Failed,
    /// The request timed out before the response head arrived.
    TimedOut,
    /// The caller cancelled the request, and the exchange was aborted.
    Abandoned,
}

/// The result of an exchange that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// When its slot was acquired.
    pub started: Time,
    /// How it ended.
    pub ending: Ending,
    /// Time from sending the request to the response head, where the backend server determines it.
    pub latency: Option<Duration>,
    /// Whether the backend server announced that it closes the connection.
    pub closing: bool,
}

impl Report {
    /// Creates a report without a latency.
    pub fn new(started: Time, ending: Ending) -> Self {
        Self { started, ending, latency: None, closing: false }
    }
}
