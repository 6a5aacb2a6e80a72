//! Connections that come up late, as they do behind a link whose packets wait.

use entry::connection::dial::dial;
use futures::FutureExt;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time in which a connection does not come up while the queue of new ones is full: the first packet
/// is sent again after a second.
const SHORT: Duration = Duration::from_millis(300);

/// Time in which it does, once there is room.
const LONG: Duration = Duration::from_secs(10);

/// A listener whose queue of new connections is full, and the connections in it.
fn full_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into()).expect("a port is free");
    listener.listen(0).expect("it listens");
    let address = listener.local_addr().expect("it is bound").as_socket().expect("an IP address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, SHORT) {
        queued.push(stream);
    }
    (listener, address, queued)
}

#[tokio::test]
async fn a_connection_is_waited_for_as_long_as_the_caller_says() {
    let (listener, address, queued) = full_listener();
    let error = dial(address, SHORT).await.expect_err("the queue is full");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    let mut waiting = Box::pin(dial(address, LONG));
    // From here on its first packet is lost.
    assert!(waiting.as_mut().now_or_never().is_none());
    for _ in &queued {
        listener.accept().expect("one is queued");
    }
    waiting.await.expect("there is room now");
}
