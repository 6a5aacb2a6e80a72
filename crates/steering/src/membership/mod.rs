//! Membership: the known instances and their states.
//!
//! Two sources are combined: the platform's list, which lags, and direct observation, which is what
//! instances report about themselves and whether calls to them succeed. Each instance publishes a
//! [`Description`] of itself with an increasing [`DescriptionVersion`]. Descriptions and
//! [`Suspicion`]s spread by gossip in messages of limited size, see [`exchange`].
//!
//! `docs/operators/membership.md` documents what each state means for the rest of the system.

pub mod exchange;
mod record;
mod rumor;
mod status;
mod table;
mod targets;
mod zones;

pub use exchange::{Aged, Incoming, Outgoing, SyncPage, SyncRequest};
pub use status::MembershipStatus;
pub use table::{MemberView, Membership, MergeOutcome, OwnInstance};
pub use targets::Target;

use crate::Incarnation;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Version of a description, ordered among the descriptions of one instance name.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DescriptionVersion {
    /// Increases with each incarnation of the name.
    pub generation: u64,
    /// Increases with each description within a generation.
    pub sequence: u64,
}

/// Status that an instance reports for itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Status {
    /// The instance has no configuration yet.
    Joining,
    /// The instance serves callers.
    Serving,
    /// The instance finishes the requests in flight and takes no new ones.
    Draining,
}

/// An instance's description of itself; `P` is a payload that the membership doesn't interpret.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Description<P> {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Version of this description.
    pub version: DescriptionVersion,
    /// Status of the instance.
    pub status: Status,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Payload that is passed on unread.
    pub payload: P,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name assigned by the platform.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Whether the platform plans to remove the instance.
    pub leaving: bool,
}

/// Report that an instance could not be reached; a newer description by that instance refutes it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Suspicion {
    /// Name of the suspected instance, assigned by the platform.
    pub name: Arc<str>,
    /// Version of the last description known to the instance that reports the suspicion.
    pub version: DescriptionVersion,
}

/// State of an instance in the local view of another instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The platform lists the instance, but no description of it has arrived yet.
    Listed,
    /// The instance has no configuration yet.
    Joining,
    /// The instance serves callers.
    Serving,
    /// The instance serves callers and has recently recovered from being suspected or dead.
    Back,
    /// The instance finishes the requests in flight, or the platform is removing it.
    Draining,
    /// The instance could not be reached.
    Suspected,
    /// The instance has been unreachable, or removed from the list, for a longer time.
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

    /// Returns whether callers may be sent to the instance.
    pub fn is_usable(self) -> bool {
        matches!(self, MemberState::Listed | MemberState::Serving | MemberState::Back)
    }

    /// Returns whether the instance counts as unreachable.
    pub fn is_down(self) -> bool {
        matches!(self, MemberState::Suspected | MemberState::Dead)
    }

    /// Returns the state's name, used as a metric label.
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
