//! Which instances there are and what state they are in.
//!
//! Two sources are joined: the platform's list, which lags, and direct sight, that is what
//! instances say of themselves and whether calls to them succeed.  Each instance describes itself
//! by a [`Description`] with a growing [`DescriptionVersion`]; descriptions and [`Suspicion`]s
//! spread by bounded exchanges with few other instances, see [`exchange`].
//!
//! What each state means for the rest of the system stands in `docs/operators/membership.md`.

pub mod exchange;
mod record;
mod rumor;
mod status;
mod table;
mod targets;
mod zones;

pub use exchange::{Aged, Incoming, Outgoing, SyncPage, SyncRequest};
pub use status::MembershipStatus;
pub use table::{Absorbed, MemberView, Membership, Own};
pub use targets::Target;

use crate::Incarnation;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Order among the descriptions of one name.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DescriptionVersion {
    /// Order among the incarnations of the name.
    pub generation: u64,
    /// Order within a generation.
    pub sequence: u64,
}

/// What an instance says that it does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Status {
    /// It has no configuration yet.
    Joining,
    /// It serves callers.
    Serving,
    /// It finishes what is in flight.
    Draining,
}

/// An instance as it described itself; `P` is what the membership itself does not look at.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Description<P> {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Which description this is.
    pub version: DescriptionVersion,
    /// What it does.
    pub status: Status,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// The rest.
    pub payload: P,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for peers.
    pub peer_address: SocketAddr,
    /// Whether the platform means to remove it.
    pub leaving: bool,
}

/// An instance that could not be reached; a later description of its own refutes it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Suspicion {
    /// Name that the platform gave it.
    pub name: Arc<str>,
    /// The last description known to the one who could not reach it.
    pub version: DescriptionVersion,
}

/// State of an instance, as one instance sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The platform lists it, and nobody told us of it yet.
    Listed,
    /// It has no configuration yet.
    Joining,
    /// It serves callers.
    Serving,
    /// It serves callers again after it was suspected or dead.
    Back,
    /// It finishes what is in flight, or the platform removes it.
    Draining,
    /// It could not be reached.
    Suspected,
    /// It could not be reached for long, or was removed from the list long ago.
    Dead,
}

impl MemberState {
    /// All states.
    pub const ALL: [MemberState; 7] = [
        MemberState::Listed,
        MemberState::Joining,
        MemberState::Serving,
        MemberState::Back,
        MemberState::Draining,
        MemberState::Suspected,
        MemberState::Dead,
    ];

    /// Tells whether callers may be sent to the instance.
    pub fn is_usable(self) -> bool {
        matches!(self, MemberState::Listed | MemberState::Serving | MemberState::Back)
    }

    /// Tells whether the instance counts as out of reach.
    pub fn is_down(self) -> bool {
        matches!(self, MemberState::Suspected | MemberState::Dead)
    }

    /// Returns the state's name as a label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Listed => "listed",
            MemberState::Joining => "joining",
            MemberState::Serving => "serving",
            MemberState::Back => "back",
            MemberState::Draining => "draining",
            MemberState::Suspected => "suspected",
            MemberState::Dead => "dead",
        }
    }
}
