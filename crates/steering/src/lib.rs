//! The decision logic of runpin, without input or output.
//!
//! Each module has state and functions of the form `(state, now, event) -> decision`.  The time and
//! the random generator are arguments, so that the same code runs in the daemon and in
//! deterministic tests, some of which compare it with a naive implementation.

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
pub mod machine;
pub mod membership;
pub mod placement;
pub mod policy;
pub mod quota;
pub mod reach;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod servers;
pub mod shares;
pub mod suspects;
pub mod terms;
pub mod time;
pub mod watch_timing;
pub mod watchers;

pub use blocks::BlockTable;
pub use key::{IdempotencyKey, Incarnation, KeyError};
pub use time::Time;
