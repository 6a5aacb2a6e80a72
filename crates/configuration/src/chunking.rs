//! Content-defined chunking of client blocks: chunk boundaries depend only on the lines' content.

use crate::BlockChunk;
use sha2::{Digest, Sha256};

/// Mean distance of chunk boundaries, in lines.
///
/// After a change of one line, its chunk and the list of all chunk references are transferred. With
/// 660,000 lines of 30 bytes and references of 100 bytes, both have about the same size at 1,500
/// lines per chunk.
const MEAN_CHUNK_LINES: u32 = 1_024;

/// Maximum number of lines in a chunk; with at most 64 bytes per line, a chunk is below 600 kB.
const MAX_CHUNK_LINES: usize = 8 * MEAN_CHUNK_LINES as usize;

/// Divides lines of `BLOCK ZONE` into chunks, after sorting them and removing blank and duplicate
/// lines.
///
/// The hash of a line decides whether the line ends its chunk, so that adding, changing or removing
/// one line changes at most the chunk that contains it and the next one.
pub fn chunk_blocks(text: &str) -> Vec<BlockChunk> {
    let mut lines: Vec<&str> =
        text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    lines.dedup();
    let mut chunks = Vec::new();
    let mut start = 0;
    for (position, line) in lines.iter().enumerate() {
        let count = position + 1 - start;
        if count == MAX_CHUNK_LINES || is_chunk_end(line) {
            chunks.push(BlockChunk::new(&lines[start..=position].join("\n")));
            start = position + 1;
        }
    }
    if start < lines.len() {
        chunks.push(BlockChunk::new(&lines[start..].join("\n")));
    }
    chunks
}

fn is_chunk_end(line: &str) -> bool {
    let digest = Sha256::digest(line.as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]) % MEAN_CHUNK_LINES == 0
}
