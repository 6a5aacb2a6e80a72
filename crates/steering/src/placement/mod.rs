//! Which backend server runs a request, decided by each instance alone.
//!
//! Requests of one object meet the same few backend servers from every instance, because all rank
//! them alike ([`rank`]); among these, the one that is expected to answer soonest gets the request,
//! by its load ([`load`]) and by whether it has the object warm.  How much of a region's traffic goes
//! to other regions follows from demand and room, and moves slowly ([`shares`]).  What binds the
//! sum over all instances is divided by rank ([`senders`]) or by number ([`budget`]).  What a backend
//! server says of its condition in answers goes before both ([`condition`]).

mod arms;
pub mod ask;
pub mod budget;
mod candidate;
mod choose;
pub mod condition;
mod condition_gossip;
mod demand;
pub mod distinct_keys;
pub mod first_list;
pub mod incarnation;
mod liveness;
pub mod load;
pub mod news;
pub mod objects;
mod overdue;
pub mod peer;
pub mod peers;
mod quantile;
pub mod rank;
mod regions;
pub mod roster;
pub mod rounds;
pub mod senders;
pub mod server;
mod service;
pub mod shares;
pub mod telling;
mod versions;
mod view;
mod warmth;
pub mod weighted_round_robin;

pub use arms::PolicyFailure;
pub use ask::{Ask, Choice, Limited, Placed, Refusal, ShareMove};
pub use budget::RetryBudget;
pub use condition::{Condition, ConditionChange, Limit};
pub use first_list::FirstList;
pub use incarnation::{Incarnation, ServerRef};
pub use peers::{Peer, PeerState, Peers};
pub use roster::Roster;
pub use server::Ending;
pub use weighted_round_robin::WeightedRoundRobin;
