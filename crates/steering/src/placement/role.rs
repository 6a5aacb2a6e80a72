//! Role of an instance towards a backend server with a low rate.

/// Role of an instance towards a backend server with a low rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// One of the senders.
    Sender,
    /// It knows no other instance, so it can't tell who the senders are.
    SoleInstance,
    /// Another instance of the backend server's region.
    Standby(Turn),
    /// An instance of another region.
    Remote(Turn),
}

impl Role {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sender => "sender",
            Self::SoleInstance => "sole-instance",
            Self::Standby(_) => "standby",
            Self::Remote(_) => "remote",
        }
    }

    /// Returns whether it sends under a limit that responses confirm.
    pub(super) fn is_sender(self) -> bool {
        matches!(self, Self::Sender | Self::SoleInstance)
    }
}

/// Place of an instance among those of its region that take turns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
    pub(super) position: usize,
    pub(super) instances: usize,
}

impl Turn {
    /// The turn of an instance that knows no other.
    pub(super) const ONLY: Self = Self { position: 0, instances: 1 };

    /// The turn of an instance that does not reach the backend servers.
    pub(super) const NEVER: Self = Self { position: 1, instances: 1 };

    /// Returns whether the instance is the one whose turn has this number.
    pub(super) fn is_current(self, number: u128) -> bool {
        number % self.instances as u128 == self.position as u128
    }
}
