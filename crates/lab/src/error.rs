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
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The experiment's text is not understood.
    #[error("{}: {message}", path.display())]
    Experiment {
        /// The file.
        path: PathBuf,
        /// What is wrong and where.
        message: String,
    },
    /// The configuration that the experiment names is not valid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// Why.
        source: ConfigurationError,
    },
    /// The experiment names something that the configuration does not have.
    #[error("field `{field}`: the configuration has no `{name}`")]
    UnknownName {
        /// Field of the experiment.
        field: &'static str,
        /// Name that was not found.
        name: String,
    },
    /// A change that the experiment makes can't be applied to the configuration.
    #[error("field `{0}` is not in the configuration")]
    Field(String),
    /// A change that the experiment makes was not accepted.
    #[error("the change was not accepted: {0}")]
    Refused(String),
    /// A stand-in can't listen.
    #[error("a stand-in can't listen: {0}")]
    Listen(io::Error),
    /// The lab's settings for a daemon are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A daemon can't start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The stand-in platform refused the configuration.
    #[error("the configuration was not accepted: {0}")]
    Store(#[from] StoreError),
    /// The daemons did not become ready.
    #[error("the daemons were not ready within {0} s")]
    NotReady(u64),
}
