//! Compression of bodies between instances.
//!
//! Records of thousands of backend servers are repetitive and compress to a quarter. When all instances
//! start at once, the links of the smallest ones are the bottleneck.

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io::{self, Read, Write};

/// Name of the encoding in headers.
pub(crate) const DEFLATE: &str = "deflate";

/// Longest decoded body in bytes: ten times the records of the largest deployments.
const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Encodes a body.
///
/// # Errors
///
/// Fails only if there is no memory left.
pub(crate) fn deflate(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    encoder.finish()
}

/// Decodes a body.
///
/// # Errors
///
/// Fails if the body is not valid zlib data, is truncated, or exceeds the length limit.
pub(crate) fn inflate(encoded: &[u8]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let length = ZlibDecoder::new(encoded).take(MAX_BODY_BYTES + 1).read_to_end(&mut body)?;
    match u64::try_from(length) {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(body),
        _ => Err(io::Error::other("decoded body is too long")),
    }
}
