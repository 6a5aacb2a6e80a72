//! Moving a service's requests onto backend servers of another version, or turning that version back.
//!
//! Each instance alone gives the version a small share of the requests, which needs no agreement and
//! bounds what a bad version gets however many instances are cut off or start anew.  All count how
//! the answers of both versions end and report that to a few judges, instances that come first by
//! rank for the service.  A judge compares the versions over the whole fleet ([`evidence`]): a
//! version that is worse is turned back, one that is alike gets a growing share.  What a judge found is
//! told from instance to instance (`announcement`) and at last written to the store by the first of a few
//! that reach it; what the store holds is final.

mod active_rollout;
mod announcement;
mod decision;
pub mod evidence;
mod judge;
mod members;
mod order_id;
mod report;
mod rule;
mod schedule;
mod table;
mod tally;
mod version_capacity;

pub use active_rollout::Change;
pub use judge::{Assessment, Finding};
pub use members::Members;
pub use order_id::OrderId;
pub use rule::{Reach, VersionRule};
pub use schedule::ExposureLimit;
pub use table::{OutcomeWrite, RolloutStatus, RolloutTable, StepActions};
pub use tally::{Observation, Tally, VersionTallies};
pub use version_capacity::VersionCapacity;
