//! The codec: every message round-trips, and no input makes a decoder panic.

mod samples;

use peer::codec::{
    CodecError, MAX_MESSAGE_BYTES, decode_reply, decode_request, encode_reply, encode_request,
};
use proptest::prelude::*;
use samples::{reply, request};

/// A corruption of an encoded message.
#[derive(Clone, Debug)]
enum Mutation {
    Flip(prop::sample::Index, u8),
    Truncate(prop::sample::Index),
    Insert(prop::sample::Index, Vec<u8>),
    Repeat(prop::sample::Index),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        (index(), 1_u8..=255).prop_map(|(index, bits)| Mutation::Flip(index, bits)),
        index().prop_map(Mutation::Truncate),
        (index(), prop::collection::vec(any::<u8>(), 1..20))
            .prop_map(|(index, bytes)| Mutation::Insert(index, bytes)),
        index().prop_map(Mutation::Repeat),
    ]
}

fn mutate(mut bytes: Vec<u8>, mutations: Vec<Mutation>) -> Vec<u8> {
    for mutation in mutations {
        if bytes.is_empty() {
            break;
        }
        match mutation {
            Mutation::Flip(index, bits) => *index.get_mut(&mut bytes) ^= bits,
            Mutation::Truncate(index) => bytes.truncate(index.index(bytes.len())),
            Mutation::Insert(index, inserted) => {
                let at = index.index(bytes.len());
                bytes.splice(at..at, inserted);
            }
            Mutation::Repeat(index) => {
                let tail = bytes[index.index(bytes.len())..].to_vec();
                bytes.extend(tail);
            }
        }
    }
    bytes
}

/// Decodes `bytes` as a request and as a reply; encoding what was decoded must not panic either.
fn decode_and_reencode(bytes: &[u8]) {
    if let Ok(request) = decode_request(bytes) {
        let _ = encode_request(&request);
    }
    if let Ok(reply) = decode_reply(bytes) {
        let _ = encode_reply(&reply);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn request_round_trips(request in request()) {
        let bytes = encode_request(&request).expect("encoded");

        prop_assert_eq!(decode_request(&bytes), Ok(request));
    }

    #[test]
    fn reply_round_trips(reply in reply()) {
        let bytes = encode_reply(&reply).expect("encoded");

        prop_assert_eq!(decode_reply(&bytes), Ok(reply));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        decode_and_reencode(&bytes);
    }

    #[test]
    fn mutated_messages_do_not_panic(
        request in request(),
        reply in reply(),
        mutations in prop::collection::vec(mutation(), 1..6),
    ) {
        let request = encode_request(&request).expect("encoded");
        let reply = encode_reply(&reply).expect("encoded");

        decode_and_reencode(&mutate(request, mutations.clone()));
        decode_and_reencode(&mutate(reply, mutations));
    }
}

#[test]
fn oversized_input_is_rejected() {
    let bytes = vec![1; MAX_MESSAGE_BYTES + 1];

    assert_eq!(decode_request(&bytes), Err(CodecError::TooLarge));
    assert_eq!(decode_reply(&bytes), Err(CodecError::TooLarge));
}

#[test]
fn packed_input_with_large_unpacked_size_is_rejected() {
    // A segment table with one segment of 2^26 words, then runs of 256 zero words.
    let mut bytes = vec![0b1000_0000, 0x04];
    bytes.extend([0, 255].repeat(1_000));

    assert_eq!(decode_request(&bytes), Err(CodecError::Malformed));
}
