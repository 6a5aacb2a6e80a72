//! Compatibility of two releases: additions of a later release are ignored or rejected, never
//! misread.

use capnp::message::Builder;
use peer::codec::{CodecError, decode_reply, decode_request, encode_request};
use peer::message::{Digest, InstanceDigest, InstanceStatus};
use peer::{Reply, Request};

#[rustfmt::skip]
#[path = "later/later_capnp.rs"]
#[allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    rust_2018_idioms,
    clippy::all,
    clippy::unimplemented,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "generated from tests/later/later.capnp"
)]
mod later_capnp;

fn pack(message: &Builder<capnp::message::HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, message).expect("packed");
    bytes
}

/// Encodes a digest as a later release does, with all the fields that it added.
fn later_digest(status: later_capnp::InstanceStatus) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut digest = message.init_root::<later_capnp::request::Builder<'_>>().init_digest();
    digest.set_configuration_number(5);
    digest.set_epoch(9);
    digest.reborrow().init_notes(1).set(0, "note");
    let mut instance = digest.init_instances(1).get(0);
    instance.set_name("one");
    instance.set_availability_zone("n1");
    instance.set_incarnation(7);
    instance.set_status(status);
    instance.set_release("2.0");
    instance.set_load_per_mille(300);
    let mut address = instance.reborrow().init_caller_address();
    address.set_ip(&[127, 0, 0, 1]);
    address.set_port(1);
    let mut address = instance.init_peer_address();
    address.set_ip(&[127, 0, 0, 1]);
    address.set_port(2);
    pack(&message)
}

fn instance(status: InstanceStatus) -> InstanceDigest {
    InstanceDigest {
        name: "one".into(),
        availability_zone: "n1".into(),
        incarnation: 7,
        generation: 0,
        sequence: 0,
        age_ms: 0,
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        status,
        configuration_number: 0,
        successor_of: Vec::new(),
        sites: Vec::new(),
        servers: Vec::new(),
    }
}

fn digest(status: InstanceStatus) -> Request {
    Request::Digest(Digest {
        instances: vec![instance(status)],
        configuration_number: 5,
        ..Digest::default()
    })
}

#[test]
fn fields_of_a_later_release_are_ignored() {
    let bytes = later_digest(later_capnp::InstanceStatus::Serving);

    assert_eq!(decode_request(&bytes), Ok(digest(InstanceStatus::Serving)));
}

#[test]
fn status_of_a_later_release_counts_as_joining() {
    let bytes = later_digest(later_capnp::InstanceStatus::Resting);

    assert_eq!(decode_request(&bytes), Ok(digest(InstanceStatus::Joining)));
}

#[test]
fn request_of_a_later_release_is_of_an_unknown_kind() {
    let mut message = Builder::new_default();
    message.init_root::<later_capnp::request::Builder<'_>>().set_later("later");

    assert_eq!(decode_request(&pack(&message)), Err(CodecError::UnknownKind));
}

#[test]
fn reply_of_a_later_release_counts_as_refused() {
    let mut message = Builder::new_default();
    message.init_root::<later_capnp::reply::Builder<'_>>().set_later("later");

    assert_eq!(decode_reply(&pack(&message)), Ok(Reply::Refused));
}

#[test]
fn later_release_reads_missing_fields_as_defaults() {
    let bytes = encode_request(&digest(InstanceStatus::Draining)).expect("encoded");
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize_packed::read_message(bytes.as_slice(), options).expect("read");

    let root = message.get_root::<later_capnp::request::Reader<'_>>().expect("root");
    let Ok(later_capnp::request::Digest(Ok(digest))) = root.which() else {
        panic!("not a digest");
    };
    let instance = digest.get_instances().expect("instances").get(0);

    assert_eq!(digest.get_configuration_number(), 5);
    assert_eq!(digest.get_epoch(), 0);
    assert_eq!(instance.get_name().expect("name"), "one");
    assert_eq!(instance.get_load_per_mille(), 0);
    assert_eq!(instance.get_status(), Ok(later_capnp::InstanceStatus::Draining));
}

#[test]
fn instance_without_addresses_is_malformed() {
    let mut message = Builder::new_default();
    message.init_root::<later_capnp::request::Builder<'_>>().init_digest().init_instances(1);

    assert_eq!(decode_request(&pack(&message)), Err(CodecError::Malformed));
}
