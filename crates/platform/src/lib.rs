//! The platform that hosts runpin: its object API and its list of instances.
//!
//! [`ObjectStore`] and [`InstanceDirectory`] are the interfaces that the rest of runpin uses; the
//! folder `platform/` at the root of the workspace implements them in the platform's protocol.

mod budgeted;
mod directory;
mod error;
mod store;
mod unsure;

pub use budgeted::{BudgetedPlatform, CallKind, CallObserver, CallOutcome, NoopObserver};
pub use directory::{InstanceDirectory, InstanceEntry, InstanceList, InstanceState};
pub use error::{StoreError, UnavailableCause};
pub use store::{Expected, Object, ObjectStore, Version, WatchBatch};
pub use unsure::{WriteOutcome, write_once, write_settled};
