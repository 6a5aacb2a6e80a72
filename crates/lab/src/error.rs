//! Errors of experiments.

use configuration::ConfigurationError;
use platform::StoreError;
use runpind::DaemonError;
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
    Unknown {
        /// Field of the experiment.
        field: &'static str,
        /// Name that was not found.
        name: String,
    },
    /// A stand-in can't listen.
    #[error("a stand-in can't listen: {0}")]
    Listen(io::Error),
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
