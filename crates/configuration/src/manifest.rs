//! The accepted form of a configuration: one object whose conditional update is the acceptance.

use crate::{Configuration, ConfigurationError, Drain};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// Key of the manifest in the platform's object API.
pub const MANIFEST_KEY: &str = "runpin/configuration/current";

/// Leading part of the keys of accepted manifests, which [`history_key`] completes.
pub const HISTORY_PREFIX: &str = "runpin/configuration/history/";

/// Number of accepted manifests that are kept.
pub const HISTORY_LENGTH: u64 = 50;

/// Leading part of the keys of client block chunks.
pub const BLOCKS_PREFIX: &str = "runpin/configuration/blocks/";

/// Largest value that the platform's object API holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Returns the key under which the manifest with a number is kept.
pub fn history_key(number: u64) -> String {
    format!("{HISTORY_PREFIX}{number:012}")
}

/// Returns the key under which the chunk with a digest is kept.
pub fn chunk_key(digest: &str) -> String {
    format!("{BLOCKS_PREFIX}{digest}")
}

/// One accepted configuration.
///
/// Fields that a later release adds are ignored, so that two releases can run side by side.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Number of the version: 1 for the first, one more with each acceptance.
    pub number: u64,
    /// Unique id of the write, by which a writer recognises its own lost answer.
    pub write_id: Arc<str>,
    /// Who applied it, as the operator's command line said.
    pub author: Arc<str>,
    /// When it was applied, in seconds since 1970.
    pub applied_at_s: u64,
    /// The configuration text.
    pub text: Arc<str>,
    /// Chunks of client blocks, all of which belong to this version.
    pub chunks: Vec<ChunkReference>,
    /// Chunks that an earlier version named and this one does not, until they are removed.
    #[serde(default)]
    pub retired: Vec<RetiredChunk>,
    /// What takes no new work, whatever the text says of it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<Drain>,
}

/// A chunk that only earlier versions name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredChunk {
    /// Digest of the chunk.
    pub digest: Arc<str>,
    /// Number of the last version that names it.
    pub last_number: u64,
}

/// Names one chunk of client blocks by its content.
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
    /// Its reference.
    pub reference: ChunkReference,
    /// Its text.
    pub text: Arc<str>,
}

/// Why an accepted object can't be used.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The object is not a manifest.
    #[error("the configuration object is not a manifest: {0}")]
    Format(#[from] serde_json::Error),
    /// The text in it does not pass the checks.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// A chunk's text does not have the digest that names it.
    #[error("chunk {expected} has digest {actual}")]
    Digest {
        /// Digest in the manifest.
        expected: Arc<str>,
        /// Digest of the text.
        actual: Arc<str>,
    },
    /// The chunks given are not those that the manifest names.
    #[error("the manifest names {named} chunks, and the {given} given are not these")]
    Chunks {
        /// Number of chunks named.
        named: usize,
        /// Number of chunks given.
        given: usize,
    },
    /// A line of a chunk is not a block and a defined availability zone.
    #[error("chunk {digest}, line {line}: `{content}` is not a block and an availability zone")]
    Block {
        /// The chunk.
        digest: Arc<str>,
        /// Line counted from 1.
        line: usize,
        /// What stands there.
        content: String,
    },
}

impl Manifest {
    /// Reads a manifest from an object's value.
    pub fn from_json(value: &[u8]) -> Result<Self, ManifestError> {
        Ok(serde_json::from_slice(value)?)
    }

    /// Returns the object's value.
    pub fn to_json(&self) -> Result<Vec<u8>, ManifestError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Checks the text, adds the client blocks of all `chunks`, which must be those named, and
    /// applies the drains.
    pub fn configuration(&self, chunks: &[BlockChunk]) -> Result<Configuration, ManifestError> {
        let mut configuration: Configuration = self.text.parse()?;
        let named = self.chunks.iter();
        if !named.eq(chunks.iter().map(|chunk| &chunk.reference)) {
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
    /// Makes a chunk of text whose lines are `BLOCK ZONE`.
    pub fn new(text: &str) -> Self {
        let reference = ChunkReference { digest: digest_of(text), blocks: text.lines().count() };
        Self { reference, text: text.into() }
    }

    /// Checks that the text has the digest that names it.
    pub fn verify(&self) -> Result<(), ManifestError> {
        let actual = digest_of(&self.text);
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

fn digest_of(text: &str) -> Arc<str> {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}
