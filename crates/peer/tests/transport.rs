//! Calls over real connections: reuse, reconnection, authentication, limits.

mod common;

use common::{KEY, OTHER_KEY, answer_to, ask, endpoint, node, node_at};
use peer::message::{HandOverRequest, KeyOutcome, KeyRecord};
use peer::transport::{HandshakeError, Refusal, TransportEvent};
use peer::{PeerClient, PeerError, Reply, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_call_is_answered_and_names_its_sender() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);

    let reply = ask(&one, &two.endpoint).await;

    assert_eq!(reply, Ok(answer_to("one")));
}

#[tokio::test]
async fn many_calls_share_one_connection() {
    let one = node("one", &[KEY]).await;
    let two = node_at("two", &[KEY], ([127, 0, 0, 1], 0).into(), 1).await;

    let replies = futures::future::join_all((0..100).map(|_| ask(&one, &two.endpoint))).await;

    assert!(replies.iter().all(|reply| *reply == Ok(answer_to("one"))), "{replies:?}");
    assert_eq!(two.events.count(TransportEvent::Refused(Refusal::Connections)), 0);
}

#[tokio::test]
async fn a_restarted_instance_is_reached_again() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let to = two.endpoint.clone();
    ask(&one, &to).await.expect("answered before the restart");

    drop(two);
    while ask(&one, &to).await.is_ok() {}
    let stopped = ask(&one, &to).await;
    let _two = node_at("two", &[KEY], to.address, 16).await;
    let back = ask(&one, &to).await;

    assert_eq!(stopped, Err(PeerError::Unreachable));
    assert_eq!(back, Ok(answer_to("one")));
}

#[tokio::test]
async fn a_call_to_a_silent_listener_ends_unsent() {
    let one = node("one", &[KEY]).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let to = endpoint(silent.local_addr().expect("address"));

    let reply = ask(&one, &to).await;

    assert_eq!(reply, Err(PeerError::Unreachable));
}

#[tokio::test]
async fn keys_are_rotated_without_a_refused_call() {
    // Every pair of neighbouring steps of a rotation is in use at once somewhere.
    let steps: [&[&str]; 4] = [&[KEY], &[KEY, OTHER_KEY], &[OTHER_KEY, KEY], &[OTHER_KEY]];
    for pair in steps.windows(2) {
        let (one, two) = (node("one", pair[0]).await, node("two", pair[1]).await);

        let replies = [ask(&one, &two.endpoint).await, ask(&two, &one.endpoint).await];

        assert_eq!(replies, [Ok(answer_to("one")), Ok(answer_to("two"))]);
    }
}

#[tokio::test]
async fn another_key_is_refused_and_counted_on_both_sides() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[OTHER_KEY]).await);

    let reply = ask(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unauthenticated));
    let failed = TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated);
    assert_eq!(one.events.count(failed), 1);
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Closed)).await;
}

#[tokio::test]
async fn a_connecting_side_with_an_unknown_first_key_is_told_so() {
    // It knows the other side's key, but signs with one that the other side doesn't know.
    let (one, two) = (node("one", &[OTHER_KEY, KEY]).await, node("two", &[KEY]).await);

    let reply = ask(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unauthenticated));
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated)).await;
}

#[tokio::test]
async fn connections_over_the_limit_are_refused_and_counted() {
    let one = node("one", &[KEY]).await;
    let two = node_at("two", &[KEY], ([127, 0, 0, 1], 0).into(), 1).await;
    let mut first = TcpStream::connect(two.endpoint.address).await.expect("connected");
    first.write_all(&[0]).await.expect("sent");

    let reply = ask(&one, &two.endpoint).await;

    assert_eq!(reply, Err(PeerError::Unreachable));
    assert_eq!(two.events.count(TransportEvent::Refused(Refusal::Connections)), 1);
}

#[tokio::test]
async fn an_unfinished_handshake_is_ended() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("closed by the other side");

    assert!(rest.is_empty());
    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Timeout)).await;
}

#[tokio::test]
async fn an_oversized_request_is_not_sent() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);

    let reply = one.client.call(&two.endpoint, Request::HandOver(large_hand_over())).await;

    assert_eq!(reply, Err(PeerError::TooLarge));
    assert_eq!(ask(&one, &two.endpoint).await, Ok(answer_to("one")));
}

#[tokio::test]
async fn a_request_that_the_service_refuses_is_answered_so() {
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
