//! Errors of the command line.

use configuration::ConfigurationError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: std::io::Error },
    /// A configuration file is not valid.
    #[error("{}: {source}", path.display())]
    Configuration { path: PathBuf, source: ConfigurationError },
    /// An instance could not be asked.
    #[error("instance {instance} can't be asked: {cause}; try another one")]
    Unreachable { instance: SocketAddr, cause: String },
    /// An instance refused.
    #[error("instance {instance} answers {status}: {message}")]
    Refused { instance: SocketAddr, status: u16, message: String },
    /// A token is needed and not set.
    #[error("set {0} to the token of the instances")]
    MissingToken(&'static str),
    /// An entry instance is not written as it should be.
    #[error("--entry: `{0}` is not NAME,ZONE,CALLER_ADDRESS,PEER_ADDRESS")]
    Entry(String),
    /// A stand-in can't listen.
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
}
