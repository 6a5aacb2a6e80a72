//! Why a version was not adopted.

use configuration::ManifestError;
use peer::PeerError;
use platform::StoreError;
use std::sync::Arc;
use thiserror::Error;

/// Why a version was not adopted; the last good one stays in force.
#[derive(Debug, Error)]
pub enum AdoptionError {
    /// The platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The other instance failed.
    #[error("instance {name}: {error}")]
    Peer {
        /// Name of the instance.
        name: Arc<str>,
        /// How it failed.
        error: PeerError,
    },
    /// The other instance is not in the list of instances.
    #[error("instance {0} is not in the list of instances")]
    UnknownPeer(Arc<str>),
    /// The other instance broke off, or sent parts that do not make a whole.
    #[error("instance {0} did not send the whole text")]
    Incomplete(Arc<str>),
    /// The object is not a manifest.
    #[error("the manifest is not understood: {0}")]
    Format(ManifestError),
    /// The manifest or its chunks do not pass the checks.
    #[error("version {number}: {error}")]
    Invalid {
        /// Number of the version.
        number: u64,
        /// What is wrong with it.
        error: ManifestError,
    },
    /// Nobody in reach has a chunk that the manifest names.
    #[error("version {number}: nobody in reach has chunk {digest} whole")]
    MissingChunk {
        /// Number of the version.
        number: u64,
        /// Digest of the chunk.
        digest: Arc<str>,
    },
    /// The daemon is stopping.
    #[error("the instance is stopping")]
    Interrupted,
}

impl AdoptionError {
    /// Returns the number of the version that is at fault, if one is.
    pub fn refused_number(&self) -> Option<u64> {
        match self {
            Self::Invalid { number, .. } | Self::MissingChunk { number, .. } => Some(*number),
            _ => None,
        }
    }

    /// Returns the failure's kind, as a label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Store(_) => "platform",
            Self::Peer { .. } | Self::UnknownPeer(_) | Self::Incomplete(_) => "peer",
            Self::Format(_) | Self::Invalid { .. } => "invalid",
            Self::MissingChunk { .. } => "missing_chunk",
            Self::Interrupted => "interrupted",
        }
    }
}
