//! The platform that hosts runpin: its object API and its list of instances.
//!
//! [`ObjectStore`] and [`InstanceDirectory`] are the borders that the rest of runpin sees;
//! [`HttpPlatform`] speaks the platform's HTTP/JSON protocol (see [`wire`]).

mod budgeted;
mod client;
mod directory;
mod error;
mod store;
mod unsure;
pub mod wire;

pub use budgeted::{BudgetedPlatform, CallKind, CallObserver, CallOutcome, Unobserved};
pub use client::HttpPlatform;
pub use directory::{InstanceDirectory, InstanceEntry, InstanceList, InstanceState};
pub use error::{StoreError, UnavailableCause};
pub use store::{Expected, Object, ObjectStore, Version, WatchBatch};
pub use unsure::{WriteOutcome, write_once, write_settled};
