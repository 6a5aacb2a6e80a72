//! An instance's replica of the platform's store, versioned by the revision of the store.
//!
//! The store has one revision counter for all changes, so any two states of a subject can be ordered,
//! whatever their source. An instance never goes back to an earlier state.

mod active_configuration;
pub mod changes;
pub mod exchange;
mod replica;
mod versioned;

pub use active_configuration::ActiveConfiguration;
pub use replica::StoreReplica;
pub use versioned::Versioned;
