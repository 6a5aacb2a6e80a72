//! The state of the deployment as an instance has it, versioned by the revision of the platform's store.
//!
//! The store has one revision counter for all changes, so any two states of a subject can be ordered,
//! whatever their source.  An instance never goes back to an earlier state.

pub mod changes;
pub mod exchange;
mod in_force;
mod knowledge;
mod known;

pub use in_force::InForce;
pub use knowledge::Knowledge;
pub use known::Known;
