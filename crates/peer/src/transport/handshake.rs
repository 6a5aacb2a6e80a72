//! The handshake by which both sides of a connection authenticate each other.
//!
//! Each side sends a `Hello` with its identity and a random nonce, then a `Proof`: a MAC with the
//! shared key over its direction and both `Hello`s. A MAC can thus be replayed neither on another
//! connection nor in the other direction. The connecting side sends the first `Hello` and the last
//! `Proof`; a `Verdict` tells it whether its MAC was accepted.

use super::keys::Keys;
use crate::Sender;
use crate::codec::{self, CodecError, Hello};
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Protocol version of this release.
const VERSION: u16 = 1;

/// Oldest protocol version that this release supports.
const MIN_VERSION: u16 = 1;

/// Maximum size of a handshake frame, in bytes.
const MAX_FRAME_BYTES: usize = 1_024;

/// Direction label in the MAC of the accepting side.
const ACCEPTING_LABEL: &[u8] = b"runpin peer handshake, accepting side";

/// Direction label in the MAC of the connecting side.
const CONNECTING_LABEL: &[u8] = b"runpin peer handshake, connecting side";

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, Error, Eq, Hash, PartialEq)]
pub enum HandshakeError {
    /// It was not complete before the timeout.
    #[error("the handshake timed out")]
    Timeout,
    /// The connection was closed.
    #[error("the connection was closed during the handshake")]
    Closed,
    /// A message was malformed or too large.
    #[error("a handshake message is malformed")]
    Malformed,
    /// The two sides have no protocol version in common.
    #[error("the two sides have no protocol version in common")]
    Version,
    /// A MAC could not be verified with any of the verifying side's keys.
    #[error("the other side does not have the shared key")]
    Unauthenticated,
}

impl HandshakeError {
    /// Returns the name used as a metric label.
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

/// Performs the handshake as the connecting side, and returns the identity of the other side.
pub(super) async fn connect<S>(
    stream: &mut S,
    sender: &Sender,
    keys: &Keys,
) -> Result<Sender, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_hello = codec::encode_hello(&hello(sender))?;
    write_frame(stream, &own_hello).await?;
    let peer_hello = read_frame(stream).await?;
    let proof = codec::decode_proof(&read_frame(stream).await?)?;
    let hello = decode_compatible_hello(&peer_hello)?;
    if !keys.verify(&[ACCEPTING_LABEL, &own_hello, &peer_hello], &proof) {
        return Err(HandshakeError::Unauthenticated);
    }
    let proof = codec::encode_proof(&keys.sign(&[CONNECTING_LABEL, &own_hello, &peer_hello]))?;
    write_frame(stream, &proof).await?;
    match codec::decode_verdict(&read_frame(stream).await?)? {
        true => Ok(hello.sender),
        false => Err(HandshakeError::Unauthenticated),
    }
}

/// Performs the handshake as the accepting side, and returns the identity of the other side.
pub(super) async fn accept<S>(
    stream: &mut S,
    sender: &Sender,
    keys: &Keys,
) -> Result<Sender, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let peer_hello = read_frame(stream).await?;
    let own_hello = codec::encode_hello(&hello(sender))?;
    // Sent even if the versions don't match, so that the other side can tell why it fails.
    write_frame(stream, &own_hello).await?;
    let proof = codec::encode_proof(&keys.sign(&[ACCEPTING_LABEL, &peer_hello, &own_hello]))?;
    write_frame(stream, &proof).await?;
    let hello = decode_compatible_hello(&peer_hello)?;
    let proof = codec::decode_proof(&read_frame(stream).await?)?;
    let accepted = keys.verify(&[CONNECTING_LABEL, &peer_hello, &own_hello], &proof);
    write_frame(stream, &codec::encode_verdict(accepted)?).await?;
    if accepted { Ok(hello.sender) } else { Err(HandshakeError::Unauthenticated) }
}

fn hello(sender: &Sender) -> Hello {
    Hello {
        version: VERSION,
        least_version: MIN_VERSION,
        nonce: rand::random(),
        sender: sender.clone(),
    }
}

fn decode_compatible_hello(bytes: &[u8]) -> Result<Hello, HandshakeError> {
    let hello = codec::decode_hello(bytes)?;
    if hello.version < MIN_VERSION || hello.least_version > VERSION {
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
