//! Encoding of the messages that distribute the configuration.

use super::{CodecError, text};
use crate::message::{ChunkRequest, ManifestRequest, Part};
use crate::peer_capnp::{chunk_request, manifest_request, part};
use bytes::Bytes;

pub(super) fn read_manifest(reader: manifest_request::Reader<'_>) -> ManifestRequest {
    ManifestRequest {
        known_number: reader.get_known_number(),
        number: reader.get_number(),
        offset: reader.get_offset(),
    }
}

pub(super) fn write_manifest(
    mut builder: manifest_request::Builder<'_>,
    request: &ManifestRequest,
) {
    builder.set_known_number(request.known_number);
    builder.set_number(request.number);
    builder.set_offset(request.offset);
}

pub(super) fn write_chunk(mut builder: chunk_request::Builder<'_>, request: &ChunkRequest) {
    builder.set_digest(&*request.digest);
    builder.set_offset(request.offset);
}

pub(super) fn read_chunk(reader: chunk_request::Reader<'_>) -> Result<ChunkRequest, CodecError> {
    Ok(ChunkRequest { digest: text::name(reader.get_digest()?)?, offset: reader.get_offset() })
}

pub(super) fn write_part(mut builder: part::Builder<'_>, part: &Part) {
    builder.set_total_bytes(part.total_bytes);
    builder.set_offset(part.offset);
    builder.set_bytes(&part.bytes);
}

pub(super) fn read_part(reader: part::Reader<'_>) -> Result<Part, CodecError> {
    Ok(Part {
        total_bytes: reader.get_total_bytes(),
        offset: reader.get_offset(),
        bytes: Bytes::copy_from_slice(reader.get_bytes()?),
    })
}
