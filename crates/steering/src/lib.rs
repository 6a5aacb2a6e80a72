//! Every decision that runpin takes, without input or output.
//!
//! Each module holds state and functions of the form `(state, now, event) -> decision`.  Time is
//! passed in as a [`Time`], chance as a seeded generator, so that the same code runs inside the
//! daemon and against a naive version in tests.

pub mod admission;
pub mod adoption;
pub mod blocks;
pub mod call_budget;
pub mod compare;
pub mod deployment;
pub mod figures;
pub mod gossip;
pub mod guard;
pub mod hash;
pub mod key;
pub mod ledger;
pub mod lookup;
pub mod membership;
pub mod placement;
pub mod policy;
pub mod quota;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod servers;
pub mod shares;
pub mod suspects;
pub mod time;
pub mod watch_timing;
pub mod watchers;

pub use blocks::BlockTable;
pub use key::{IdempotencyKey, Incarnation, KeyError};
pub use time::Time;
