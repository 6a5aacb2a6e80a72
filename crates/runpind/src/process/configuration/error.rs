//! Errors of the adoption of a version.

use configuration::ManifestError;
use peer::PeerError;
use platform::StoreError;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a version was not adopted; the previous one stays active.
#[derive(Debug, Error)]
pub enum AdoptionError {
    /// A call to the platform failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A call to another instance failed.
    #[error("instance {name}: {error}")]
    Peer {
        /// Name of the instance.
        name: Arc<str>,
        /// The failure of the call.
        error: PeerError,
    },
    /// The instance is not in the list of instances.
    #[error("instance {0} is not in the list of instances")]
    UnknownPeer(Arc<str>),
    /// The instance sent parts that do not form a complete text.
    #[error("instance {0} did not send the whole text")]
    Incomplete(Arc<str>),
    /// The object can't be parsed as a manifest.
    #[error("the manifest is not understood: {0}")]
    Format(ManifestError),
    /// The manifest or its chunks are invalid.
    #[error("version {number}: {error}")]
    Invalid {
        /// Number of the version.
        number: u64,
        /// The reason.
        error: ManifestError,
    },
    /// No reachable source has a chunk that the manifest references.
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
    /// Returns the number of the rejected version, if the failure is specific to a version.
    pub fn rejected_number(&self) -> Option<u64> {
        match self {
            Self::Invalid { number, .. } | Self::MissingChunk { number, .. } => Some(*number),
            _ => None,
        }
    }

    /// Returns the kind of the failure, as a metric label.
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
