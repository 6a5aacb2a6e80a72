//! Chooses the backend server that runs a request; each instance decides on its own.
//!
//! All instances rank the backend servers for an object alike ([`rank`]), so its requests reach the
//! same few backend servers from everywhere.  Among these, the request goes to the one with the
//! shortest expected response time, given its load ([`load`]) and whether its cache holds the
//! object.  The share of a region's traffic that other regions serve follows from demand and
//! capacity and changes slowly ([`shares`]).  Limits on the sum over all instances are divided by
//! rank ([`senders`]) or by the number of instances ([`budget`]).  The condition that a backend
//! server reports in its responses takes precedence over both ([`condition`]).

mod arms;
pub mod bootstrap_delay;
pub mod budget;
mod candidate;
mod choose;
pub mod condition;
mod condition_gossip;
pub mod distinct_keys;
pub mod gossip;
pub mod incarnation;
mod liveness;
pub mod load;
pub mod objects;
mod overdue;
mod own_demand;
pub mod peer;
mod peer_choice;
pub mod peer_update;
pub mod peers;
mod policy_view;
mod quantile;
pub mod rank;
mod reach_checks;
mod region_view;
mod remembered;
pub mod request;
mod retry_window;
pub mod role;
pub mod roster;
pub mod rounds;
pub mod senders;
pub mod server;
mod service;
mod share_step;
mod share_update;
pub mod shares;
pub mod slot_counts;
mod version_filter;
mod warmth;

pub mod weighted_round_robin;

pub use arms::PolicyFailure;
pub use bootstrap_delay::BootstrapDelay;
pub use budget::{RetryBudget, RetryTerms};
pub use condition::{Condition, ConditionChange, Limit};
pub use incarnation::{Incarnation, ServerRef};
pub use peer_choice::start_id;
pub use peers::{Peer, PeerState, Peers};
pub use reach_checks::CheckTarget;
pub use request::{
    Choice, PlacementCounts, PlacementRequest, RateLimitUsage, Refusal, ShareChange,
};
pub use roster::Roster;
pub use server::Ending;
pub use share_step::ShareStep;
pub use slot_counts::SlotCounts;
pub use weighted_round_robin::WeightedRoundRobin;
