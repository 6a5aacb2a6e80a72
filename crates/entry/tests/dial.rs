//! Connections that take long to be established, as over a saturated link.

use entry::connection::dial::dial;
use futures::FutureExt;
use socket2::{Domain, Socket, Type};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use steering::terms::timings::ConnectionTimings;

/// Timeout within which no connection is established while the listener's backlog is full: the lost SYN
/// is retransmitted after a second.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout within which the connection is established once the backlog has space.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// A listener whose backlog is full, and the connections in it.
fn full_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into()).expect("bind a free port");
    listener.listen(0).expect("listen");
    let address =
        listener.local_addr().expect("the bound address").as_socket().expect("an IP address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, SHORT_TIMEOUT) {
        queued.push(stream);
    }
    (listener, address, queued)
}

#[tokio::test]
async fn dialing_waits_for_the_given_timeout() {
    let (listener, address, queued) = full_listener();
    let timings = ConnectionTimings::default();
    let error = dial(address, SHORT_TIMEOUT, timings).await.expect_err("the backlog is full");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    let mut waiting = Box::pin(dial(address, LONG_TIMEOUT, timings));
    // The SYN has been sent by now and is lost.
    assert!(waiting.as_mut().now_or_never().is_none());
    for _ in &queued {
        listener.accept().expect("accept a queued connection");
    }
    waiting.await.expect("the backlog has space again");
}
