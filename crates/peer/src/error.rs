//! Failures of a call to another instance.

use thiserror::Error;

/// Why a call to another instance failed.
#[derive(Clone, Copy, Debug, Error, Eq, Hash, PartialEq)]
pub enum PeerError {
    /// No connection could be made; the request was not sent.
    #[error("the instance can't be reached")]
    Unreachable,
    /// No reply came in time; the request may have been handled.
    #[error("no reply came in time")]
    Timeout,
    /// The connection broke; the request may have been handled.
    #[error("the connection broke")]
    Broken,
    /// The other side could not show that it belongs to the deployment.
    #[error("the other side could not show that it belongs")]
    Unauthenticated,
    /// The message is larger than allowed.
    #[error("the message is larger than allowed")]
    TooLarge,
    /// The reply is not one that the request can have.
    #[error("the reply does not fit the request")]
    UnexpectedReply,
}

impl PeerError {
    /// Returns the error's name as a label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerError::Unreachable => "unreachable",
            PeerError::Timeout => "timeout",
            PeerError::Broken => "broken",
            PeerError::Unauthenticated => "unauthenticated",
            PeerError::TooLarge => "too_large",
            PeerError::UnexpectedReply => "unexpected_reply",
        }
    }
}
