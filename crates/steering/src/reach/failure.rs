//! Ways in which an attempt to reach a backend server fails.

/// Ways in which an attempt to reach a backend server fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    Connecting,
    /// The connection broke before there was a response.
    Broken,
    /// A new connection broke before its first response.
    NewBroken,
    /// The response is overdue.
    Overdue,
    /// A check could not connect.
    CheckConnecting,
    /// A check got no response.
    CheckUnanswered,
}

impl Failure {
    /// The failure of a connection that broke before there was a response.
    pub fn broken(is_connection_new: bool) -> Self {
        if is_connection_new { Self::NewBroken } else { Self::Broken }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::Broken => "broken",
            Self::NewBroken => "new-broken",
            Self::Overdue => "overdue",
            Self::CheckConnecting => "check-connecting",
            Self::CheckUnanswered => "check-unanswered",
        }
    }

    /// Returns whether it concerns a new connection.
    pub(super) fn is_of_new_connection(self) -> bool {
        match self {
            Self::Connecting | Self::NewBroken => true,
            Self::CheckConnecting | Self::CheckUnanswered => true,
            Self::Broken | Self::Overdue => false,
        }
    }

    /// Returns whether a check failed.
    pub(super) fn is_of_check(self) -> bool {
        matches!(self, Self::CheckConnecting | Self::CheckUnanswered)
    }
}
