//! Rollouts: moves a service's requests to backend servers of another version, or rolls that
//! version back.
//!
//! Each instance alone gives the version a small share of the requests. This needs no agreement,
//! and bounds the requests that a bad version gets however many instances are partitioned or
//! restarted. All instances count the responses of both versions and report them to a few judges,
//! the instances that rank first for the service. A judge compares the versions over the whole
//! fleet ([`evidence`]): a version that is worse is rolled back, one that is not gets a growing
//! share. The judges' decisions are gossiped between instances (`announcement`); the first of a few
//! instances that reach the store writes them there. What the store holds is final. It also keeps
//! the progress ([`RolloutProgress`]), from which a fleet that restarts resumes.

mod active_rollout;
mod announcement;
mod decision;
pub mod evidence;
mod judge;
mod members;
mod order_id;
mod progress;
mod report;
mod resume;
mod resumption;
mod rule;
mod schedule;
mod table;
mod tally;
mod version_capacity;

pub use active_rollout::Change;
pub use judge::{Assessment, Finding};
pub use members::Members;
pub use order_id::OrderId;
pub use progress::RolloutProgress;
pub use resume::ProgressSync;
pub use rule::{Reach, VersionRule};
pub use schedule::ExposureLimit;
pub use table::{OutcomeWrite, RolloutStatus, RolloutTable, StepActions};
pub use tally::{Observation, Tally, VersionTallies};
pub use version_capacity::VersionCapacity;
