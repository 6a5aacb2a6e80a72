//! The runpin daemon, which answers callers' lookups and forwards requests to backend servers.
//!
//! Modules are organized by the lifetime of their state: [`process`] holds state that lives as long
//! as the daemon, [`version`] that of one configuration version, [`connection`] that of a connection
//! and [`request`] that of a request.

pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

pub use connection::dialer::{BoxStream, Dialer, Endpoint, Stream, TcpDialer};
pub use error::DaemonError;
pub use process::daemon::Daemon;
pub use process::dependencies::Dependencies;
pub use settings::{RawSettings, Settings};
