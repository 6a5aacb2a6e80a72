//! The daemon of an entry instance on a platform that keeps configuration and backend servers.
//!
//! Modules are laid out by life span: what lives for a [`request`], a [`connection`], a
//! [`version`] of what is known, or the [`process`].  What the platform calls things stands behind
//! the traits of [`border`].  One thread runs everything, so state is shared without locks.

pub mod border;
pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

pub use error::EntryError;
pub use settings::Settings;
