//! Reading ahead on a caller's connection: bound, order and end.

use entry::connection::read_ahead::ReadAhead;
use futures::FutureExt;
use std::future::poll_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

/// Most bytes read ahead in these tests.
const MAX_BYTES: usize = 10_000;

/// A connection that holds any number of bytes on its way, and the caller's end of it.
fn connection() -> (ReadAhead<DuplexStream>, DuplexStream) {
    let (near, far) = duplex(1_000_000);
    (ReadAhead::new(near, MAX_BYTES), far)
}

/// Bytes of which each piece is different.
fn numbered_bytes(count: u32) -> Vec<u8> {
    (0..count).flat_map(u32::to_be_bytes).collect()
}

/// Polls once for the end of the connection.
fn has_ended(stream: &ReadAhead<DuplexStream>) -> bool {
    poll_fn(|context| stream.poll_end(context)).now_or_never().is_some()
}

#[tokio::test]
async fn bytes_read_ahead_are_bounded_and_keep_their_order() {
    let (mut stream, mut caller) = connection();
    let sent = numbered_bytes(20_000);
    caller.write_all(&sent).await.expect("the bytes fit");

    assert!(!has_ended(&stream));
    assert_eq!(stream.unread_bytes(), MAX_BYTES);
    assert!(!has_ended(&stream));
    assert_eq!(stream.unread_bytes(), MAX_BYTES);

    let mut received = vec![0; sent.len()];
    stream.read_exact(&mut received).await.expect("all bytes arrive");
    assert!(received == sent);
    assert_eq!(stream.unread_bytes(), 0);
}

#[tokio::test]
async fn an_end_within_the_bound_is_detected() {
    let (stream, mut caller) = connection();
    caller.write_all(&[1; MAX_BYTES - 1]).await.expect("the bytes fit");
    assert!(!has_ended(&stream));

    drop(caller);

    assert!(has_ended(&stream));
}

#[tokio::test]
async fn an_end_beyond_the_bound_is_detected_once_the_reader_has_read() {
    let (mut stream, mut caller) = connection();
    caller.write_all(&[1; MAX_BYTES + 1]).await.expect("the bytes fit");
    drop(caller);
    assert!(!has_ended(&stream));

    let mut piece = [0; 100];
    stream.read_exact(&mut piece).await.expect("the bytes arrive");

    assert!(has_ended(&stream));
}

#[tokio::test]
async fn nothing_is_read_ahead_while_the_reader_waits() {
    let (mut stream, mut caller) = connection();
    assert!(stream.read_u8().now_or_never().is_none());
    caller.write_all(b"a").await.expect("the byte fits");

    assert!(!has_ended(&stream));
    assert_eq!(stream.unread_bytes(), 0);

    stream.begin_poll();
    assert!(!has_ended(&stream));
    assert_eq!(stream.unread_bytes(), 1);
    assert_eq!(stream.read_u8().await.expect("the byte arrives"), b'a');
}
