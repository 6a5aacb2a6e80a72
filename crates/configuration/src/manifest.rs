//! The accepted form of a configuration: one object whose conditional update is the acceptance.

use crate::{Configuration, ConfigurationError};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// Key of the manifest in the platform's object API.
pub const MANIFEST_KEY: &str = "runpin/configuration/current";

/// Leading part of the keys of client block chunks.
pub const BLOCKS_PREFIX: &str = "runpin/configuration/blocks/";

/// Largest value that the platform's object API holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Client blocks in one chunk; at most 52 bytes a line keeps a chunk under 600 kB.
const BLOCKS_PER_CHUNK: usize = 10_000;

/// One accepted configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
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
}

/// Names one chunk of client blocks by its content.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
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

    /// Checks the text and adds the client blocks of all `chunks`.
    pub fn configuration(&self, chunks: &[BlockChunk]) -> Result<Configuration, ManifestError> {
        let mut configuration: Configuration = self.text.parse()?;
        for chunk in chunks {
            chunk.verify()?;
            chunk.append_to(&mut configuration)?;
        }
        Ok(configuration)
    }
}

impl ChunkReference {
    /// Returns the chunk's key in the platform's object API.
    pub fn key(&self) -> String {
        format!("{BLOCKS_PREFIX}{}", self.digest)
    }
}

impl BlockChunk {
    /// Makes a chunk of text whose lines are `BLOCK ZONE`.
    pub fn new(text: &str) -> Self {
        let reference = ChunkReference { digest: digest_of(text), blocks: text.lines().count() };
        Self { reference, text: text.into() }
    }

    fn verify(&self) -> Result<(), ManifestError> {
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

/// Divides sorted lines of `BLOCK ZONE` into chunks that change only where their lines change.
pub fn chunk_blocks(lines: &[&str]) -> Vec<BlockChunk> {
    lines.chunks(BLOCKS_PER_CHUNK).map(|chunk| BlockChunk::new(&chunk.join("\n"))).collect()
}

fn digest_of(text: &str) -> Arc<str> {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}
