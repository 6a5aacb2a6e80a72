//! Errors of calls to other instances.

use thiserror::Error;

/// Why a call to another instance failed.
#[derive(Clone, Copy, Debug, Error, Eq, Hash, PartialEq)]
pub enum PeerError {
    /// No connection could be opened, or too many calls were in flight; the request was not sent.
    #[error("the instance can't be reached")]
    Unreachable,
    /// No reply arrived before the timeout; the request may have been handled.
    #[error("no reply came in time")]
    Timeout,
    /// The connection was lost; the request may have been handled.
    #[error("the connection broke")]
    Broken,
    /// The handshake failed, such as for a missing shared key; the request was not sent.
    #[error("the other side could not show that it belongs")]
    Unauthenticated,
    /// The request exceeds the maximum message size.
    #[error("the message is larger than allowed")]
    TooLarge,
    /// The reply is malformed or does not match the request.
    #[error("the reply does not fit the request")]
    UnexpectedReply,
}

impl PeerError {
    /// Returns the name used as a metric label.
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
