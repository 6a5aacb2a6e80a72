//! Which backend server runs a request, decided by each instance alone.
//!
//! Requests of one object meet the same few backend servers from every instance, because all rank
//! them alike ([`rank`]); among these, the one that is expected to answer soonest gets the request,
//! by its load ([`load`]) and by whether it has the object warm.  How much of a region's traffic goes
//! to other regions follows from demand and room, and moves slowly ([`shares`]).  What binds the
//! sum over all instances is divided by rank ([`senders`]) or by number ([`budget`]).  What a backend
//! server says of its condition in answers goes before both ([`condition`]).

mod arms;
pub mod bootstrap_delay;
pub mod budget;
mod candidate;
mod choose;
pub mod condition;
mod conditions;
pub mod division;
pub mod gossip;
pub mod incarnation;
pub mod keys;
mod liveness;
pub mod load;
pub mod objects;
mod overdue;
mod own_demand;
pub mod peer;
pub mod peer_update;
pub mod peers;
mod policy_view;
mod quantile;
pub mod rank;
pub mod request;
pub mod roster;
pub mod rounds;
pub mod senders;
pub mod server;
mod service;
mod share_update;
pub mod shares;
mod version_filter;
mod warmth;

pub use arms::PolicyFailure;
pub use bootstrap_delay::BootstrapDelay;
pub use budget::RetryBudget;
pub use condition::{Condition, ConditionChange, Limit};
pub use division::Division;
pub use incarnation::{Incarnation, ServerRef};
pub use peers::{Peer, PeerState, Peers};
pub use request::{
    Choice, PlacementCounts, PlacementRequest, RateLimitUsage, Refusal, ShareChange,
};
pub use roster::Roster;
pub use server::Ending;
