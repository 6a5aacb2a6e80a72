//! Errors of the acceptance of a proposal.

use configuration::{ConfigurationError, DrainError, Manifest, ManifestError};
use platform::StoreError;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Number and author of a version, for error messages.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionLabel {
    /// Number of the version; 0 for none.
    pub number: u64,
    /// Author of the version.
    pub author: Arc<str>,
}

/// Reason why a proposal was not accepted.
#[derive(Debug, Error)]
pub enum AcceptanceError {
    /// The configuration text is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The client blocks are invalid, or an object in the platform can't be parsed.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The current version is not the one that the proposal would replace.
    #[error("{current} is in force; {proposed} would have replaced version {expected}")]
    Conflict {
        /// Number of the version that the proposal would have replaced.
        expected: u64,
        /// Label of the rejected proposal.
        proposed: VersionLabel,
        /// The current version.
        current: VersionLabel,
    },
    /// A chunk of client blocks that the current manifest references is not in the platform.
    #[error("chunk {0} of the client blocks is not in the platform; apply them again")]
    MissingChunk(Arc<str>),
    /// The daemon stopped before the configuration was validated.
    #[error("the configuration was not checked: the instance is stopping")]
    Interrupted,
    /// The drain can't be added or removed.
    #[error(transparent)]
    Drain(#[from] DrainError),
    /// No configuration has been accepted yet.
    #[error("no configuration was accepted yet")]
    NoConfiguration,
    /// A call to the platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl fmt::Display for VersionLabel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.number {
            0 => write!(formatter, "no version"),
            number => write!(formatter, "version {number} by {}", self.author),
        }
    }
}

impl From<&Manifest> for VersionLabel {
    fn from(manifest: &Manifest) -> Self {
        Self { number: manifest.number, author: manifest.author.clone() }
    }
}
