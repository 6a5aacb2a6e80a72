//! How an exchange with a backend server ended.

use crate::Time;
use std::time::Duration;

/// How an exchange ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer was whole.
    Whole,
    /// The backend server refused the work because it has too much (status 503).
    Shed,
    /// The backend server refused the connection.
    Refused,
    /// Nothing was sent, for a reason that says nothing about the backend server.
    Unsent,
    /// No connection came about, or the exchange broke.
    Failed,
    /// The request's timeout passed before the head of an answer.
    TimedOut,
    /// The caller gave up; the exchange was cut from our side.
    Abandoned,
}

/// What is reported of an exchange that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// When its slot was taken.
    pub started: Time,
    /// How it ended.
    pub ending: Ending,
    /// Time from sending the request to the head of the answer, where that is the backend
    /// server's doing.
    pub latency: Option<Duration>,
    /// Whether the backend server announced that it closes the connection.
    pub closing: bool,
}

impl Report {
    /// Makes a report without an answer.
    pub fn new(started: Time, ending: Ending) -> Self {
        Self { started, ending, latency: None, closing: false }
    }
}
