//! Messages that distribute the configuration between instances.

use bytes::Bytes;
use std::sync::Arc;

/// Requests a part of the active manifest, and announces the requester's configuration number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ManifestRequest {
    /// Configuration number that the requester already has; only a higher one is returned.
    pub known_number: u64,
    /// Configuration number that the requester is reading; ignored at offset 0.
    pub number: u64,
    /// Offset of the first requested byte.
    pub offset: u64,
}

/// Requests a part of a chunk of client blocks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    /// Digest that identifies the chunk.
    pub digest: Arc<str>,
    /// Offset of the first requested byte.
    pub offset: u64,
}

/// A part of a text that may exceed one message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Part {
    /// Length of the whole text in bytes; 0 when there is none.
    pub total_bytes: u64,
    /// Offset of `bytes` in the whole text.
    pub offset: u64,
    /// Content of the part.
    pub bytes: Bytes,
}
