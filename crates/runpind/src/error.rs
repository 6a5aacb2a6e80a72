//! Errors that prevent the daemon from starting.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why the daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A flag or variable holds a value that is not allowed.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A listener's address can't be used.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// Purpose of the listener.
        purpose: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The log can't be set up.
    #[error("cannot set up the log: {0}")]
    Log(#[from] log::SetLoggerError),
    /// A metric is defined twice or incorrectly.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The keys shared with other instances can't be used.
    #[error("cannot use the peer keys: {0}")]
    PeerKeys(#[from] peer::transport::KeysError),
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[from] io::Error),
}

/// An invalid setting.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("--{flag} (or {variable}) is required")]
    Missing {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// The value of a setting is malformed.
    #[error("--{flag} (or {variable}): `{value}` is not {expected}")]
    Invalid {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// Name of the environment variable.
        variable: &'static str,
        /// The given value; a placeholder for secrets.
        value: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
}
