//! Encoding of the handshake messages.

use super::{CodecError, pack, text, unpack};
use crate::message::Sender;
use crate::peer_capnp::{hello, proof, verdict};
use capnp::message::Builder;

/// Length of the nonce of a [`Hello`], in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// First message of both sides of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Hello {
    /// Protocol version of the sender.
    pub(crate) version: u16,
    /// Oldest protocol version that the sender supports.
    pub(crate) least_version: u16,
    /// Random bytes, new for each connection.
    pub(crate) nonce: [u8; NONCE_BYTES],
    /// Identity of the sender.
    pub(crate) sender: Sender,
}

pub(crate) fn encode_hello(hello: &Hello) -> Result<Vec<u8>, CodecError> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<hello::Builder<'_>>();
    root.set_version(hello.version);
    root.set_least_version(hello.least_version);
    root.set_nonce(&hello.nonce);
    root.set_name(&*hello.sender.name);
    root.set_availability_zone(&*hello.sender.availability_zone);
    root.set_incarnation(hello.sender.incarnation);
    pack(&message)
}

pub(crate) fn decode_hello(bytes: &[u8]) -> Result<Hello, CodecError> {
    let message = unpack(bytes)?;
    let root = message.get_root::<hello::Reader<'_>>()?;
    Ok(Hello {
        version: root.get_version(),
        least_version: root.get_least_version(),
        nonce: root.get_nonce()?.try_into().map_err(|_| CodecError::Malformed)?,
        sender: Sender {
            name: text::name(root.get_name()?)?,
            availability_zone: text::name(root.get_availability_zone()?)?,
            incarnation: root.get_incarnation(),
        },
    })
}

pub(crate) fn encode_proof(mac: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = Builder::new_default();
    message.init_root::<proof::Builder<'_>>().set_mac(mac);
    pack(&message)
}

pub(crate) fn decode_proof(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let message = unpack(bytes)?;
    Ok(message.get_root::<proof::Reader<'_>>()?.get_mac()?.to_vec())
}

pub(crate) fn encode_verdict(accepted: bool) -> Result<Vec<u8>, CodecError> {
    let mut message = Builder::new_default();
    message.init_root::<verdict::Builder<'_>>().set_accepted(accepted);
    pack(&message)
}

pub(crate) fn decode_verdict(bytes: &[u8]) -> Result<bool, CodecError> {
    let message = unpack(bytes)?;
    Ok(message.get_root::<verdict::Reader<'_>>()?.get_accepted())
}
