//! Errors of experiments.

use configuration::ConfigurationError;
use platform::StoreError;
use runpind::DaemonError;
use runpind::error::SettingsError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why an experiment could not be run.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The experiment file is not valid.
    #[error("{}: {message}", path.display())]
    Experiment {
        /// Path of the file.
        path: PathBuf,
        /// Parse error with its position.
        message: String,
    },
    /// The configuration of the experiment is not valid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: ConfigurationError,
    },
    /// The experiment refers to a name that the configuration does not contain.
    #[error("field `{field}`: the configuration has no `{name}`")]
    UnknownName {
        /// Field of the experiment file.
        field: &'static str,
        /// Name that was not found.
        name: String,
    },
    /// A configuration change refers to a field that does not exist.
    #[error("field `{0}` is not in the configuration")]
    UnknownField(String),
    /// A configuration change was not accepted in time; contains the last error.
    #[error("the change was not accepted: {0}")]
    ChangeRejected(String),
    /// A mock server can't listen on its address.
    #[error("a mock server can't listen: {0}")]
    Listen(io::Error),
    /// The daemon settings that the lab generates are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A daemon can't start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The mock platform rejected the initial configuration.
    #[error("the configuration was not accepted: {0}")]
    Store(#[from] StoreError),
    /// The daemons were not ready within this time, in seconds.
    #[error("the daemons were not ready within {0} s")]
    NotReady(u64),
}
