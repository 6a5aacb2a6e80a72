//! Attempts to pass the handshake without the shared key, with data recorded from connections.

mod common;

use common::{KEY, endpoint, expected_reply, node, request_manifest};
use parking_lot::Mutex;
use peer::PeerEndpoint;
use peer::transport::{HandshakeError, TransportEvent};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const UNAUTHENTICATED: TransportEvent =
    TransportEvent::HandshakeFailed(HandshakeError::Unauthenticated);

/// Proxy for one connection that records what the connecting side sends.
struct Tap {
    endpoint: PeerEndpoint,
    recorded: Arc<Mutex<Vec<u8>>>,
}

async fn tap(to: SocketAddr) -> Tap {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let sink = recorded.clone();
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.expect("accepted");
        let server = TcpStream::connect(to).await.expect("connected");
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut server_read, &mut client_write).await });
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = client_read.read(&mut buffer).await {
            sink.lock().extend(&buffer[..count]);
            server_write.write_all(&buffer[..count]).await.expect("forwarded");
        }
    });
    Tap { endpoint: endpoint(address), recorded }
}

/// Splits the first `count` frames off the bytes of a handshake.
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

/// Reads the remaining bytes until the other side closes the connection.
async fn read_rest(mut stream: TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    // A connection closed with unread bytes is reset, which counts as closed too.
    let _ = stream.read_to_end(&mut rest).await;
    rest
}

#[tokio::test]
async fn recorded_connection_cannot_be_replayed() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let tap = tap(two.endpoint.address).await;
    assert_eq!(request_manifest(&one, &tap.endpoint).await, Ok(expected_reply("one")));
    let recorded = tap.recorded.lock().clone();

    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");
    stream.write_all(&recorded).await.expect("sent");
    two.events.wait_for(UNAUTHENTICATED).await;
    let rest = read_rest(stream).await;

    // At most a hello, a proof and a verdict: no reply to the recorded request.
    let handshake: usize = frames(&rest, 2).iter().map(Vec::len).sum();
    assert!(rest.len() < handshake + 64, "{} bytes", rest.len());
}

#[tokio::test]
async fn proof_of_accepting_side_is_rejected_from_connecting_side() {
    let (one, two) = (node("one", &[KEY]).await, node("two", &[KEY]).await);
    let tap = tap(two.endpoint.address).await;
    request_manifest(&one, &tap.endpoint).await.expect("answered");
    let hello = frames(&tap.recorded.lock(), 1).remove(0);

    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");
    stream.write_all(&hello).await.expect("sent");
    let _hello = read_frame(&mut stream).await;
    let proof = read_frame(&mut stream).await;
    stream.write_all(&proof).await.expect("sent");

    two.events.wait_for(UNAUTHENTICATED).await;
    read_rest(stream).await;
}

#[tokio::test]
async fn proof_from_another_connection_is_rejected() {
    let two = node("two", &[KEY]).await;
    let three = node("three", &[KEY]).await;
    // The attacker accepts a connection from `two` and lets `three` create the proof for it.
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

    let (reply, _) = tokio::join!(request_manifest(&two, &attacker), relay);

    assert!(reply.is_err(), "{reply:?}");
    assert_eq!(two.events.count(UNAUTHENTICATED), 1);
}

#[tokio::test]
async fn oversized_frame_ends_the_handshake() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    stream.write_all(&[0xff, 0xff, 1, 2, 3]).await.expect("sent");

    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Malformed)).await;
    assert!(read_rest(stream).await.is_empty());
}

#[tokio::test]
async fn request_before_the_handshake_gets_no_reply() {
    let two = node("two", &[KEY]).await;
    let mut stream = TcpStream::connect(two.endpoint.address).await.expect("connected");

    // Zeros decode as an empty hello, which has no nonce. Its sender gets a hello and a proof over
    // what it sent, and nothing else.
    stream.write_all(&[0; 64]).await.expect("sent");

    two.events.wait_for(TransportEvent::HandshakeFailed(HandshakeError::Malformed)).await;
    let rest = read_rest(stream).await;
    let handshake: usize =
        if rest.is_empty() { 0 } else { frames(&rest, 2).iter().map(Vec::len).sum() };
    assert_eq!(rest.len(), handshake);
}
