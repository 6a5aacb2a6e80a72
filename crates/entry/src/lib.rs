//! The daemon of an entry instance on a platform that stores the configuration and the backend servers.
//!
//! Modules are grouped by lifetime: that of a [`request`], a [`connection`], a [`version`] of the
//! deployment's state, or the [`process`]. The platform's names and formats are hidden behind the
//! traits of [`platform_api`]. Everything runs on one thread, so state is shared without locks.

pub mod connection;
pub mod error;
pub mod platform_api;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

pub use error::EntryError;
pub use settings::Settings;
