//! Encoding of names and addresses.

use super::CodecError;
use crate::peer_capnp::address;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Decodes a name.
pub(super) fn name(text: capnp::text::Reader<'_>) -> Result<Arc<str>, CodecError> {
    Ok(text.to_str()?.into())
}

/// Encodes an address as its 4 or 16 bytes and the port.
pub(super) fn write_address(mut builder: address::Builder<'_>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => builder.set_ip(&ip.octets()),
        IpAddr::V6(ip) => builder.set_ip(&ip.octets()),
    }
    builder.set_port(address.port());
}

/// Decodes an address.
pub(super) fn read_address(reader: address::Reader<'_>) -> Result<SocketAddr, CodecError> {
    let ip = reader.get_ip()?;
    let v4 = <[u8; 4]>::try_from(ip).map(IpAddr::from);
    let v6 = || <[u8; 16]>::try_from(ip).map(IpAddr::from);
    let ip = v4.or_else(|_| v6()).map_err(|_| CodecError::Malformed)?;
    Ok(SocketAddr::new(ip, reader.get_port()))
}
