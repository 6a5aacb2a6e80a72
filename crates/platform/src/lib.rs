//! The platform that hosts runpin: its object API and its list of instances.
//!
//! [`ObjectStore`] and [`InstanceDirectory`] are the interfaces that the rest of runpin uses; the
//! folder `platform/` at the root of the workspace implements them in the platform's protocol.

mod budgeted;
mod confirmed_write;
mod directory;
mod error;
mod store;

pub use budgeted::{BudgetedPlatform, CallKind, CallObserver, CallOutcome, NoopObserver};
pub use confirmed_write::{WriteOutcome, create_if_absent, write_confirmed};
pub use directory::{InstanceDirectory, InstanceEntry, InstanceList, InstanceState};
pub use error::{StoreError, UnavailableCause};
pub use store::{Expected, Object, ObjectStore, Version, WatchBatch};
