//! Calls over TCP connections: reuse, reconnection, authentication, limits.

mod common;

use common::{KEY, OTHER_KEY, endpoint, expected_reply, node, node_at, request_manifest};
use peer::message::{HandOverRequest, KeyOutcome, KeyRecord};
use peer::transport::{HandshakeError, Refusal, TransportEvent};
use peer::{PeerClient, PeerError, Reply, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn call_gets_a_reply_and_names_its_sender() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);

    let reply = request_manifest(&one, &two.endpoint).await;

    assert_eq!(reply, Ok(expected_reply("one")));
}

#[tokio::test]
async fn many_calls_share_one_connection() {
    let one = node("one", &[KEY]).await;
    let two = node_at("two", &[KEY], ([127, 0, 0, 1], 0).into(), 1).await;

    let replies =
        futures::future::join_all((0..100).map(|_| request_manifest(&one, &two.endpoint))).await;

    assert!(replies.iter().all(|reply| *reply == Ok(expected_reply("one"))), "{replies:?}");
    assert_eq!(two.events.count(TransportEvent::Refused(Refusal::Connections)), 0);
}

#[tokio::test]
async fn restarted_instance_becomes_reachable_again() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let to = two.endpoint.clone();
    request_manifest(&one, &to).await.expect("answered before the restart");

    drop(two);
    while request_manifest(&one, &to).await.is_ok() {}
    let stopped = request_manifest(&one, &to).await;
    let _two = node_at("two", &[KEY], to.address, 16).await;
    let back = request_manifest(&one, &to).await;

    assert_eq!(stopped, Err(PeerError::Unreachable));
    assert_eq!(back, Ok(expected_reply("one")));
}

#[tokio::test]
async fn call_to_a_silent_listener_ends_as_unreachable() {
    let one = node("one", &[KEY]).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let to = endpoint(silent.local_addr().expect("address"));

    let reply = request_manifest(&one, &to).await;

    assert_eq!(reply, Err(PeerError::Unreachable));
}

#[tokio::test]
async fn key_rotation_refuses_no_call() {
    // During a rotation, instances at two consecutive steps call each other.
    let steps: [&[&str]; 4] = [&[KEY], &[KEY, OTHER_KEY], &[OTHER_KEY, KEY], &[OTHER_KEY]];
    for pair in steps.windows(2) {
        let (one, two) = (node("one", pair[0]).await, node("two", pair[1]).await);

        let replies = [
            request_manifest(&one, &two.endpoint).await,
            request_manifest(&two, &one.endpoint).await,
        ];

        assert_eq!(replies, [Ok(expected_reply("one")), Ok(expected_reply("two"))]);
    }
}

#[tokio::test]
async fn unshared_key_is_rejected_and_reported_on_both_sides() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[OTHER_KEY]).await);

    let reply = request_manifest(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unauthenticated));
    let failed = TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated);
    assert_eq!(one.events.count(failed), 1);
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Closed)).await;
}

#[tokio::test]
async fn connecting_side_with_an_unknown_signing_key_is_told_that_it_is_unauthenticated() {
    // `one` has the key of `two`, but signs with its first key, which `two` does not have.
    let (one, two) = (node("one", &[OTHER_KEY, KEY]).await, node("two", &[KEY]).await);

    let reply = request_manifest(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unauthenticated));
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated)).await;
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_and_reported() {
    let one = node("one", &[KEY]).await;
    let two = node_at("two", &[KEY], ([127, 0, 0, 1], 0).into(), 1).await;
    let mut first = TcpStream::connect(two.endpoint.address).await.expect("connected");
    first.write_all(&[0]).await.expect("sent");

    let reply = request_manifest(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unreachable));
    assert_eq!(two.events.count(TransportEvent::Refused(Refusal::Connections)), 1);
}

#[tokio::test]
async fn incomplete_handshake_is_ended() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("closed by the other side");

    assert!(rest.is_empty());
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Timeout)).await;
}

#[tokio::test]
async fn oversized_request_is_not_sent() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);

    let reply = one.client.call(&two.endpoint, Request::HandOver(large_hand_over())).await;

    assert_eq!(reply, Err(PeerError::TooLarge));
    assert_eq!(request_manifest(&one, &two.endpoint).await, Ok(expected_reply("one")));
}

#[tokio::test]
async fn request_refused_by_the_service_gets_a_refusal() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);

    let reply = one.client.call(&two.endpoint, Request::Grant(Default::default())).await;

    assert_eq!(reply, Ok(Reply::Refused));
}

fn large_hand_over() -> HandOverRequest {
    let body = (0..peer::codec::MAX_MESSAGE_BYTES).map(|position| position as u8 | 1).collect();
    let outcome = KeyOutcome::Answered { status: 200, content_type: "".into(), body };
    let record = KeyRecord { key: "k".into(), fingerprint: 1, keep_ms: 1, outcome };
    HandOverRequest {
        home: 1,
        successor: 2,
        horizon_ms: 0,
        part: 0,
        last: true,
        records: vec![record],
    }
}
