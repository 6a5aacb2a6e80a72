//! The handshake by which both sides of a connection show that they belong.
//!
//! Each side sends a `Hello` with its identity and a random nonce, then a code by the shared key
//! over both `Hello`s and its direction. A code is thus of use neither on another connection nor
//! in the other direction. The connecting side speaks first and proves itself last; it learns by a
//! `Verdict` whether its code was taken.

use super::keys::Keys;
use crate::Sender;
use crate::codec::{self, CodecError, Hello};
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Protocol version of this release.
const VERSION: u16 = 1;

/// Oldest protocol version that this release speaks.
const LEAST_VERSION: u16 = 1;

/// Largest frame of a handshake, in bytes.
const MAX_FRAME_BYTES: usize = 1_024;

/// Direction of the code that the accepting side sends.
const ACCEPTING: &[u8] = b"runpin peer handshake, accepting side";

/// Direction of the code that the connecting side sends.
const CONNECTING: &[u8] = b"runpin peer handshake, connecting side";

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, Error, Eq, Hash, PartialEq)]
pub enum HandshakeError {
    /// It took too long.
    #[error("the handshake took too long")]
    Timeout,
    /// The connection ended.
    #[error("the connection ended during the handshake")]
    Closed,
    /// A message is malformed or too large.
    #[error("a message of the handshake is malformed")]
    Malformed,
    /// Both sides have no protocol version in common.
    #[error("both sides have no protocol version in common")]
    Version,
    /// The other side has none of our keys, or we have none of its.
    #[error("the other side does not have the shared key")]
    Unauthenticated,
}

impl HandshakeError {
    /// Returns the error's name as a label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HandshakeError::Timeout => "timeout",
            HandshakeError::Closed => "closed",
            HandshakeError::Malformed => "malformed",
            HandshakeError::Version => "version",
            HandshakeError::Unauthenticated => "unauthenticated",
        }
    }
}

impl From<io::Error> for HandshakeError {
    fn from(_: io::Error) -> Self {
        HandshakeError::Closed
    }
}

impl From<CodecError> for HandshakeError {
    fn from(_: CodecError) -> Self {
        HandshakeError::Malformed
    }
}

/// Shows the other side that we belong, and has it show the same, on a connection that we made.
pub(super) async fn connect<S>(
    stream: &mut S,
    sender: &Sender,
    keys: &Keys,
) -> Result<Sender, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = codec::encode_hello(&hello(sender))?;
    write_frame(stream, &ours).await?;
    let theirs = read_frame(stream).await?;
    let proof = codec::decode_proof(&read_frame(stream).await?)?;
    let hello = checked(&theirs)?;
    if !keys.verify(&[ACCEPTING, &ours, &theirs], &proof) {
        return Err(HandshakeError::Unauthenticated);
    }
    let proof = codec::encode_proof(&keys.sign(&[CONNECTING, &ours, &theirs]))?;
    write_frame(stream, &proof).await?;
    match codec::decode_verdict(&read_frame(stream).await?)? {
        true => Ok(hello.sender),
        false => Err(HandshakeError::Unauthenticated),
    }
}

/// The same on a connection that the other side made.
pub(super) async fn accept<S>(
    stream: &mut S,
    sender: &Sender,
    keys: &Keys,
) -> Result<Sender, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let theirs = read_frame(stream).await?;
    let ours = codec::encode_hello(&hello(sender))?;
    // Sent even if the versions don't fit, so that the other side learns why it fails.
    write_frame(stream, &ours).await?;
    let proof = codec::encode_proof(&keys.sign(&[ACCEPTING, &theirs, &ours]))?;
    write_frame(stream, &proof).await?;
    let hello = checked(&theirs)?;
    let proof = codec::decode_proof(&read_frame(stream).await?)?;
    let accepted = keys.verify(&[CONNECTING, &theirs, &ours], &proof);
    write_frame(stream, &codec::encode_verdict(accepted)?).await?;
    if accepted { Ok(hello.sender) } else { Err(HandshakeError::Unauthenticated) }
}

fn hello(sender: &Sender) -> Hello {
    Hello {
        version: VERSION,
        least_version: LEAST_VERSION,
        nonce: rand::random(),
        sender: sender.clone(),
    }
}

fn checked(bytes: &[u8]) -> Result<Hello, HandshakeError> {
    let hello = codec::decode_hello(bytes)?;
    if hello.version < LEAST_VERSION || hello.least_version > VERSION {
        return Err(HandshakeError::Version);
    }
    Ok(hello)
}

async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
) -> Result<(), HandshakeError> {
    let length = u16::try_from(bytes.len()).map_err(|_| HandshakeError::Malformed)?;
    stream.write_u16(length).await?;
    stream.write_all(bytes).await?;
    Ok(stream.flush().await?)
}

async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, HandshakeError> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_FRAME_BYTES {
        return Err(HandshakeError::Malformed);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
