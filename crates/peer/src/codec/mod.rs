//! Encoding and decoding of messages, in packed Cap'n Proto by the schema `schema/peer.capnp`.
//!
//! The input of a decoder is untrusted: sizes are checked before memory is allocated, and malformed
//! input results in a [`CodecError`].

mod configuration;
mod digest;
mod grant;
mod hand_over;
mod hello;
mod text;

pub(crate) use hello::{Hello, decode_hello, decode_proof, decode_verdict};
pub(crate) use hello::{encode_hello, encode_proof, encode_verdict};

use crate::message::{Reply, Request};
use crate::peer_capnp;
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp::serialize_packed;
use thiserror::Error;

/// Maximum size of a packed message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Maximum size of an unpacked message, in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = 64 << 10;

/// Maximum nesting depth of structures.
const MAX_NESTING: i32 = 8;

/// Why encoding or decoding a message failed.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum CodecError {
    /// It exceeds [`MAX_MESSAGE_BYTES`], or the limit for unpacked messages.
    #[error("the message is larger than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
    /// It does not conform to the schema, or its unpacked size exceeds the limit.
    #[error("the message is malformed")]
    Malformed,
    /// It is of a kind that this release does not know, such as one added by a later release.
    #[error("the message is of an unknown kind")]
    UnknownKind,
}

impl From<capnp::Error> for CodecError {
    fn from(_: capnp::Error) -> Self {
        CodecError::Malformed
    }
}

impl From<std::str::Utf8Error> for CodecError {
    fn from(_: std::str::Utf8Error) -> Self {
        CodecError::Malformed
    }
}

impl From<capnp::NotInSchema> for CodecError {
    fn from(_: capnp::NotInSchema) -> Self {
        CodecError::UnknownKind
    }
}

/// Encodes a request.
pub fn encode_request(request: &Request) -> Result<Vec<u8>, CodecError> {
    let mut message = Builder::new_default();
    let root = message.init_root::<peer_capnp::request::Builder<'_>>();
    match request {
        Request::Digest(digest) => digest::write(root.init_digest(), digest),
        Request::Manifest(request) => configuration::write_manifest(root.init_manifest(), request),
        Request::Chunk(request) => configuration::write_chunk(root.init_chunk(), request),
        Request::Grant(request) => grant::write_request(root.init_grant(), request),
        Request::Release(request) => grant::write_release(root.init_release(), *request),
        Request::Promise(request) => grant::write_promise(root.init_promise(), *request),
        Request::HandOver(request) => hand_over::write(root.init_hand_over(), request),
    }
    pack(&message)
}

/// Decodes a request.
pub fn decode_request(bytes: &[u8]) -> Result<Request, CodecError> {
    use peer_capnp::request::Which;
    let message = unpack(bytes)?;
    let root = message.get_root::<peer_capnp::request::Reader<'_>>()?;
    Ok(match root.which()? {
        Which::Digest(digest) => Request::Digest(digest::read(digest?)?),
        Which::Manifest(request) => Request::Manifest(configuration::read_manifest(request?)),
        Which::Chunk(request) => Request::Chunk(configuration::read_chunk(request?)?),
        Which::Grant(request) => Request::Grant(grant::read_request(request?)?),
        Which::Release(request) => Request::Release(grant::read_release(request?)),
        Which::Promise(request) => Request::Promise(grant::read_promise(request?)),
        Which::HandOver(request) => Request::HandOver(hand_over::read(request?)?),
    })
}

/// Encodes a reply.
pub fn encode_reply(reply: &Reply) -> Result<Vec<u8>, CodecError> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<peer_capnp::reply::Builder<'_>>();
    match reply {
        Reply::Digest(digest) => digest::write(root.init_digest(), digest),
        Reply::Manifest(part) => configuration::write_part(root.init_manifest(), part),
        Reply::Chunk(part) => configuration::write_part(root.init_chunk(), part),
        Reply::Grant(reply) => grant::write_reply(root.init_grant(), reply),
        Reply::Released => root.set_released(()),
        Reply::Promise(reply) => grant::write_promise_reply(root.init_promise(), *reply),
        Reply::HandOver(reply) => root.init_hand_over().set_accepted(reply.accepted),
        Reply::Refused => root.set_refused(()),
    }
    pack(&message)
}

/// Decodes a reply; one of an unknown kind counts as refused.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, CodecError> {
    use peer_capnp::reply::Which;
    let message = unpack(bytes)?;
    let root = message.get_root::<peer_capnp::reply::Reader<'_>>()?;
    let Ok(which) = root.which() else {
        return Ok(Reply::Refused);
    };
    Ok(match which {
        Which::Digest(digest) => Reply::Digest(digest::read(digest?)?),
        Which::Manifest(part) => Reply::Manifest(configuration::read_part(part?)?),
        Which::Chunk(part) => Reply::Chunk(configuration::read_part(part?)?),
        Which::Grant(reply) => Reply::Grant(grant::read_reply(reply?)?),
        Which::Released(()) => Reply::Released,
        Which::Promise(reply) => Reply::Promise(grant::read_promise_reply(reply?)),
        Which::HandOver(reply) => Reply::HandOver(hand_over::read_reply(reply?)),
        Which::Refused(()) => Reply::Refused,
    })
}

fn pack(message: &Builder<HeapAllocator>) -> Result<Vec<u8>, CodecError> {
    if message.size_in_words() > MAX_MESSAGE_WORDS {
        return Err(CodecError::TooLarge);
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, message)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge);
    }
    Ok(bytes)
}

fn unpack(bytes: &[u8]) -> Result<Reader<OwnedSegments>, CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge);
    }
    // The reader checks the limit against the segment lengths before it allocates them, so that a
    // few packed bytes can't cause a large allocation.
    let options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_WORDS),
        nesting_limit: MAX_NESTING,
    };
    Ok(serialize_packed::read_message(bytes, options)?)
}

/// Returns the length of a list as the `u32` that list builders take.
fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
