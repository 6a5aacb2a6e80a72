//! Ways in which an attempt to reach a backend server fails.

/// Ways in which an attempt to reach a backend server fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    Connecting,
    /// The connection broke before there was a response.
    Broken,
    /// The response is overdue.
    Overdue,
    /// A check could not connect.
    CheckConnecting,
    /// A check got no response.
    CheckUnanswered,
}

impl Failure {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::Broken => "broken",
            Self::Overdue => "overdue",
            Self::CheckConnecting => "check-connecting",
            Self::CheckUnanswered => "check-unanswered",
        }
    }

    /// Returns whether it says something about new connections.
    pub(super) fn is_of_connecting(self) -> bool {
        matches!(self, Self::Connecting | Self::CheckConnecting)
    }

    /// Returns whether a check failed.
    pub(super) fn is_of_check(self) -> bool {
        matches!(self, Self::CheckConnecting | Self::CheckUnanswered)
    }
}
