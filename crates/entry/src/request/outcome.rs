//! Outcome of an attempt at one backend server.

use super::attempt_guard::AttemptGuard;
use super::body::ServerBody;
use crate::connection::pool::Connection;
use http::{HeaderMap, StatusCode};

/// A response of a backend server.
pub(super) struct ServerResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ServerBody,
    pub(super) guard: AttemptGuard,
    /// The connection, to return to the pool once the body is complete.
    pub(super) connection: Connection,
}

/// Outcome of an attempt.
pub(super) enum Outcome {
    /// The backend server answered.
    Answered(Box<ServerResponse>),
    /// Nothing of the request reached it.
    NotSent,
    /// As [`Outcome::NotSent`], but because a relay failed: the backend server may be tried again.
    NotForwarded,
    /// The backend server has not run the request and never will.
    NotRun,
    /// As [`Outcome::NotRun`], although its load report shows capacity: it may be tried again.
    Refused,
    /// The backend server may have run the request, but there is no usable response.
    Broken {
        /// Whether it has read the request or never will; if not, the request may arrive later.
        is_past: bool,
    },
}

impl Outcome {
    /// Whether the request has not run at the backend server and never will.
    pub(super) fn has_not_run(&self) -> bool {
        matches!(self, Self::NotSent | Self::NotForwarded | Self::NotRun | Self::Refused)
    }

    /// Name in logs and in decisions shown to operators.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent => "not sent",
            Self::NotForwarded => "not passed on",
            Self::NotRun => "not run",
            Self::Refused => "refused",
            Self::Broken { .. } => "broken",
        }
    }
}
