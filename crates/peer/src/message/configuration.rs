//! Configuration passed on between instances.

use bytes::Bytes;
use std::sync::Arc;

/// Asks for a part of the manifest in force, and tells which version the asker has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ManifestRequest {
    /// Number that the asker has; only a higher one is of use.
    pub known_number: u64,
    /// Number of the version whose first part the asker has; not used with offset 0.
    pub number: u64,
    /// First byte wanted.
    pub offset: u64,
}

/// Asks for a part of a chunk of client blocks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    /// Digest that names the chunk.
    pub digest: Arc<str>,
    /// First byte wanted.
    pub offset: u64,
}

/// A part of a text that may be too large for one message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Part {
    /// Length of the whole in bytes; 0 when there is none.
    pub total_bytes: u64,
    /// Position of `bytes` in the whole.
    pub offset: u64,
    /// The part.
    pub bytes: Bytes,
}
