//! Attempts to get past the handshake without the shared key, with what was seen on the wire.

mod common;

use common::{KEY, answer_to, ask, endpoint, node};
use parking_lot::Mutex;
use peer::PeerEndpoint;
use peer::transport::{HandshakeError, TransportEvent};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REFUSED: TransportEvent = TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated);

/// Passes one connection on and records what the connecting side sends.
struct Tap {
    endpoint: PeerEndpoint,
    seen: Arc<Mutex<Vec<u8>>>,
}

async fn tap(to: SocketAddr) -> Tap {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let recorded = seen.clone();
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.expect("accepted");
        let far = TcpStream::connect(to).await.expect("connected");
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut far_read, &mut near_write).await });
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = near_read.read(&mut buffer).await {
            recorded.lock().extend(&buffer[..count]);
            far_write.write_all(&buffer[..count]).await.expect("passed on");
        }
    });
    Tap { endpoint: endpoint(address), seen }
}

/// Splits the frames of a handshake.
fn frames(mut bytes: &[u8], count: usize) -> Vec<Vec<u8>> {
    let mut frames = Vec::new();
    for _ in 0..count {
        let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
        frames.push(bytes[..2 + length].to_vec());
        bytes = &bytes[2 + length..];
    }
    frames
}

async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let length = stream.read_u16().await.expect("length");
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(2 + usize::from(length), 0);
    stream.read_exact(&mut frame[2..]).await.expect("frame");
    frame
}

/// Reads what is left until the other side closes the connection.
async fn read_rest(mut stream: TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A connection closed with unread bytes is reset, which is an end as well.
    let _ = stream.read_to_end(&mut rest).await;
    rest
}

#[tokio::test]
async fn a_recorded_connection_can_not_be_played_again() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let tap = tap(two.endpoint.address).await;
    assert_eq!(ask(&one, &tap.endpoint).await, Ok(answer_to("one")));
    let recorded = tap.seen.lock().clone();

    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");
    stream.write_all(&recorded).await.expect("sent");
    two.events.wait_for(REFUSED).await;
    let rest = read_rest(stream).await;

    // Hello, proof and verdict at most: no answer to the request that was recorded.
    let handshake: usize = frames(&rest, 2).iter().map(Vec::len).sum();
    assert!(rest.len() < handshake + 64, "{} bytes", rest.len());
}

#[tokio::test]
async fn the_accepting_sides_own_proof_is_of_no_use_to_the_connecting_side() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let tap = tap(two.endpoint.address).await;
    ask(&one, &tap.endpoint).await.expect("answered");
    let hello = frames(&tap.seen.lock(), 1).remove(0);

    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");
    stream.write_all(&hello).await.expect("sent");
    let _hello = read_frame(&mut stream).await;
    let proof = read_frame(&mut stream).await;
    stream.write_all(&proof).await.expect("sent");

    two.events.wait_for(REFUSED).await;
    read_rest(stream).await;
}

#[tokio::test]
async fn a_proof_from_another_connection_is_refused() {
    let two = node("two", &[KEY]).await;
    let three = node("three", &[KEY]).await;
    // The attacker accepts a connection of `two` and has `three` make the proof for it.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let attacker = endpoint(listener.local_addr().expect("address"));
    let relay = async {
        let (mut victim, _) = listener.accept().await.expect("accepted");
        let hello = read_frame(&mut victim).await;
        let mut first = TcpStream::connect(three.endpoint.address).await.expect("connected");
        first.write_all(&hello).await.expect("sent");
        let their_hello = read_frame(&mut first).await;
        let mut second = TcpStream::connect(three.endpoint.address).await.expect("connected");
        second.write_all(&hello).await.expect("sent");
        let _other_hello = read_frame(&mut second).await;
        let proof = read_frame(&mut second).await;
        victim.write_all(&their_hello).await.expect("sent");
        victim.write_all(&proof).await.expect("sent");
        read_rest(victim).await
    };

    let (reply, _) = tokio::join!(ask(&two, &attacker), relay);

    assert!(reply.is_err(), "{reply:?}");
    assert_eq!(two.events.count(REFUSED), 1);
}

#[tokio::test]
async fn a_frame_larger_than_any_of_the_handshake_ends_it() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    stream.write_all(&[0xff, 0xff, 1, 2, 3]).await.expect("sent");

    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Malformed)).await;
    assert!(read_rest(stream).await.is_empty());
}

#[tokio::test]
async fn a_request_before_the_handshake_is_not_answered() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    // Zeros are an empty hello, which has no nonce. Whoever sends one gets a hello and a proof over
    // what it sent, and nothing else.
    stream.write_all(&[0; 64]).await.expect("sent");

    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Malformed)).await;
    let rest = read_rest(stream).await;
    let handshake: usize =
        if rest.is_empty() { 0 } else { frames(&rest, 2).iter().map(Vec::len).sum() };
    assert_eq!(rest.len(), handshake);
}
