//! The accepted form of a configuration: one object, accepted by a conditional update.

use crate::{Configuration, ConfigurationError, Drain};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// Key of the manifest in the platform's object API.
pub const MANIFEST_KEY: &str = "runpin/configuration/current";

/// Prefix of the keys of accepted manifests; see [`history_key`].
pub const HISTORY_PREFIX: &str = "runpin/configuration/history/";

/// Number of accepted manifests that are stored.
pub const HISTORY_LENGTH: u64 = 50;

/// Prefix of the keys of client block chunks; see [`chunk_key`].
pub const BLOCKS_PREFIX: &str = "runpin/configuration/blocks/";

/// Maximum size of a value in the platform's object API, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Returns the key of the accepted manifest with this number.
pub fn history_key(number: u64) -> String {
    format!("{HISTORY_PREFIX}{number:012}")
}

/// Returns the key of the chunk with this digest.
pub fn chunk_key(digest: &str) -> String {
    format!("{BLOCKS_PREFIX}{digest}")
}

/// An accepted configuration.
///
/// Unknown fields are ignored, so that instances of two releases can run side by side.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Version number: 1 for the first version, increased by 1 with each accepted one.
    pub number: u64,
    /// Unique id of the write, by which a writer whose response was lost recognises its own write.
    pub write_id: Arc<str>,
    /// Author, as given by the operator on the command line.
    pub author: Arc<str>,
    /// Time of the change, in seconds since the Unix epoch.
    pub applied_at_s: u64,
    /// The configuration text.
    pub text: Arc<str>,
    /// Chunks of client blocks of this version.
    pub chunks: Vec<ChunkReference>,
    /// Chunks that only earlier versions reference, until they are deleted.
    #[serde(default)]
    pub retired: Vec<RetiredChunk>,
    /// Drains, which apply whatever the text contains.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<Drain>,
}

/// A chunk that only earlier versions reference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredChunk {
    /// Digest of the chunk.
    pub digest: Arc<str>,
    /// Number of the last version that references it.
    pub last_number: u64,
}

/// Reference to a chunk of client blocks by its content.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChunkReference {
    /// SHA-256 of the chunk's text in hexadecimal.
    pub digest: Arc<str>,
    /// Number of client blocks in it.
    pub blocks: usize,
}

/// A chunk of client blocks: lines of `BLOCK ZONE`.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockChunk {
    /// Reference to the chunk.
    pub reference: ChunkReference,
    /// Text of the chunk.
    pub text: Arc<str>,
}

/// Error in an accepted manifest or its chunks.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The object is not a manifest.
    #[error("the configuration object is not a manifest: {0}")]
    Format(#[from] serde_json::Error),
    /// The configuration text in it is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The text of a chunk does not match its digest.
    #[error("chunk {expected} has digest {actual}")]
    Digest {
        /// Digest in the manifest.
        expected: Arc<str>,
        /// Digest of the text.
        actual: Arc<str>,
    },
    /// The given chunks are not those that the manifest references.
    #[error("the manifest names {named} chunks, and the {given} given are not these")]
    Chunks {
        /// Number of referenced chunks.
        named: usize,
        /// Number of given chunks.
        given: usize,
    },
    /// A line of a chunk is not a block and a defined availability zone.
    #[error("chunk {digest}, line {line}: `{content}` is not a block and an availability zone")]
    Block {
        /// Digest of the chunk.
        digest: Arc<str>,
        /// Line of the chunk, counted from 1.
        line: usize,
        /// Content of the line.
        content: String,
    },
}

impl Manifest {
    /// Decodes a manifest from the value of its object.
    pub fn from_json(value: &[u8]) -> Result<Self, ManifestError> {
        Ok(serde_json::from_slice(value)?)
    }

    /// Encodes the manifest as the value of its object.
    pub fn to_json(&self) -> Result<Vec<u8>, ManifestError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Parses and validates the text, adds the client blocks of all `chunks`, which must be the
    /// referenced ones in their order, and applies the drains.
    pub fn configuration(&self, chunks: &[BlockChunk]) -> Result<Configuration, ManifestError> {
        let mut configuration: Configuration = self.text.parse()?;
        let references = self.chunks.iter();
        if !references.eq(chunks.iter().map(|chunk| &chunk.reference)) {
            return Err(ManifestError::Chunks { named: self.chunks.len(), given: chunks.len() });
        }
        for chunk in chunks {
            chunk.verify()?;
            chunk.append_to(&mut configuration)?;
        }
        configuration.apply_drains(&self.drains);
        Ok(configuration)
    }
}

impl ChunkReference {
    /// Returns the chunk's key in the platform's object API.
    pub fn key(&self) -> String {
        chunk_key(&self.digest)
    }
}

impl BlockChunk {
    /// Creates a chunk of text whose lines are `BLOCK ZONE`.
    pub fn new(text: &str) -> Self {
        let reference = ChunkReference { digest: sha256_hex(text), blocks: text.lines().count() };
        Self { reference, text: text.into() }
    }

    /// Checks that the text matches the digest of the reference.
    pub fn verify(&self) -> Result<(), ManifestError> {
        let actual = sha256_hex(&self.text);
        let expected = self.reference.digest.clone();
        if actual == expected { Ok(()) } else { Err(ManifestError::Digest { expected, actual }) }
    }

    fn append_to(&self, configuration: &mut Configuration) -> Result<(), ManifestError> {
        for (position, line) in self.text.lines().enumerate() {
            let parsed = line.split_once(' ').and_then(|(block, zone)| {
                Some(crate::ClientBlock {
                    block: block.parse().ok()?,
                    availability_zone: configuration.zone(zone)?,
                })
            });
            let client_block = parsed.ok_or_else(|| ManifestError::Block {
                digest: self.reference.digest.clone(),
                line: position + 1,
                content: line.to_owned(),
            })?;
            configuration.client_blocks.push(client_block);
        }
        Ok(())
    }
}

fn sha256_hex(text: &str) -> Arc<str> {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}
