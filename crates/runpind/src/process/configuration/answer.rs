//! Responses to other instances' requests for the active configuration.

use crate::process::Process;
use bytes::Bytes;
use peer::Sender;
use peer::message::{ChunkRequest, ManifestRequest, Part};

/// Maximum bytes of a manifest or chunk in one message.
const MAX_PART_BYTES: usize = 128 << 10;

/// Returns a part of the active manifest if the requesting instance has an older one.
///
/// The known number in the request may be newer than the active version; it is then recorded.
pub fn answer_manifest(process: &Process, from: &Sender, request: ManifestRequest) -> Part {
    let version = process.version.load();
    let own_number = version.as_ref().map_or(0, |version| version.number);
    if request.known_number > own_number {
        process.configuration.record_peer_version(&from.name, request.known_number);
    }
    let newer = version.as_ref().filter(|version| {
        version.number > request.known_number
            && (request.offset == 0 || version.number == request.number)
    });
    match newer.map(|version| version.manifest.to_json()) {
        Some(Ok(json)) => part_at(&json.into(), request.offset),
        Some(Err(_)) | None => Part::default(),
    }
}

/// Returns a part of a chunk of the active version; an empty part if it has no such chunk.
pub fn answer_chunk(process: &Process, request: &ChunkRequest) -> Part {
    let version = process.version.load();
    let chunks = version.iter().flat_map(|version| &version.chunks);
    let found = chunks.into_iter().find(|chunk| chunk.reference.digest == request.digest);
    found.map_or_else(Part::default, |chunk| {
        part_at(&Bytes::copy_from_slice(chunk.text.as_bytes()), request.offset)
    })
}

fn part_at(text: &Bytes, offset: u64) -> Part {
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(text.len());
    let end = text.len().min(start + MAX_PART_BYTES);
    Part { total_bytes: text.len() as u64, offset, bytes: text.slice(start..end) }
}
