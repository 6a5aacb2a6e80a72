//! Errors that end the daemon or keep it from starting.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A flag or variable holds a value that is not allowed.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A listener's address can't be used.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// What the listener is for.
        purpose: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why it failed.
        source: io::Error,
    },
    /// The log can't be set up.
    #[error("cannot set up the log: {0}")]
    Log(#[from] log::SetLoggerError),
    /// A metric is defined twice or badly.
    #[error("cannot register a metric: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The keys shared with other instances can't be used.
    #[error("cannot use the peer keys: {0}")]
    PeerKeys(#[from] peer::transport::KeysError),
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[from] io::Error),
}

/// Which setting is wrong and why.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A setting without a default was not given.
    #[error("--{flag} (or {variable}) is required")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
    },
    /// A setting's text does not have the form it needs.
    #[error("--{flag} (or {variable}): `{value}` is not {expected}")]
    Invalid {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// The text given.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
}
