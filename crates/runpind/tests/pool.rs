//! Connections to backend servers: limits, reuse, and what happens after an abandoned exchange.

use async_trait::async_trait;
use http::Request;
use http_body_util::BodyExt;
use runpind::connection::dialer::{BoxStream, Dialer, Endpoint};
use runpind::connection::pool::{ConnectError, PooledConnection, Pools};
use runpind::request::body;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Hands the other end of each connection to the test.
struct FakeDialer {
    dialed: AtomicUsize,
    accepted: mpsc::UnboundedSender<DuplexStream>,
}

#[async_trait]
impl Dialer for FakeDialer {
    async fn dial(&self, _endpoint: &Endpoint) -> io::Result<BoxStream> {
        self.dialed.fetch_add(1, Ordering::SeqCst);
        let (near, far) = tokio::io::duplex(1 << 16);
        self.accepted.send(far).map_err(io::Error::other)?;
        Ok(Box::new(near))
    }
}

/// Never answers, like an availability zone that is cut off.
struct SilentDialer;

#[async_trait]
impl Dialer for SilentDialer {
    async fn dial(&self, _endpoint: &Endpoint) -> io::Result<BoxStream> {
        std::future::pending().await
    }
}

fn fake() -> (FakeDialer, mpsc::UnboundedReceiver<DuplexStream>) {
    let (accepted, connections) = mpsc::unbounded_channel();
    (FakeDialer { dialed: AtomicUsize::new(0), accepted }, connections)
}

fn endpoint() -> Endpoint {
    Endpoint { address: ([10, 0, 0, 1], 80).into(), availability_zone: "n1".into() }
}

async fn read_head(stream: &mut DuplexStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
}

/// Sends a request, answers it, and puts the connection back.
async fn exchange(mut connection: PooledConnection, stream: &mut DuplexStream) {
    let sender = connection.sender.as_mut().expect("a sender");
    let answering = async {
        read_head(stream).await;
        stream.write_all(ANSWER).await.expect("answer written");
    };
    let (response, ()) = tokio::join!(sender.send_request(get()), answering);
    response.expect("an answer").into_body().collect().await.expect("whole");
    connection.reuse();
    // The connection is put back by a task.
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
}

fn get() -> Request<body::Body> {
    Request::get("/").header("host", "x").body(body::full("")).expect("a request")
}

#[tokio::test(start_paused = true)]
async fn whole_exchange_leaves_its_connection_for_the_next() {
    let (dialer, mut connections) = fake();
    let pools = Pools::default();
    let first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    exchange(first, &mut stream).await;

    let second = pools.connect(&dialer, &endpoint(), 1).await;

    assert!(second.is_ok());
    assert_eq!(dialer.dialed.load(Ordering::SeqCst), 1);
}

#[tokio::test(start_paused = true)]
async fn connection_of_an_abandoned_exchange_is_closed_and_never_used_again() {
    let (dialer, mut connections) = fake();
    let pools = Pools::default();
    let mut first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    {
        let sending = first.sender.as_mut().expect("a sender").send_request(get());
        tokio::select! {
            _ = sending => unreachable!("nobody answers"),
            () = read_head(&mut stream) => {}
        }
    }
    drop(first);

    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("closed");
    let second = pools.connect(&dialer, &endpoint(), 1).await;

    assert!(second.is_ok(), "the place among the open connections is free again");
    assert_eq!(dialer.dialed.load(Ordering::SeqCst), 2);
}

#[tokio::test(start_paused = true)]
async fn limit_counts_connections_in_use_and_idle_ones_expire() {
    let (dialer, mut connections) = fake();
    let pools = Pools::default();
    let first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    let over = pools.connect(&dialer, &endpoint(), 1).await;
    exchange(first, &mut stream).await;
    let open_before = pools.open_connections(endpoint().address);

    tokio::time::advance(Duration::from_secs(60)).await;
    pools.expire();

    assert!(matches!(over, Err(ConnectError::Limit { limit: 1 })));
    assert_eq!((open_before, pools.open_connections(endpoint().address)), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn backend_server_that_neither_accepts_nor_refuses_is_given_up() {
    let pools = Pools::default();

    let connected = pools.connect(&SilentDialer, &endpoint(), 1).await;

    assert!(matches!(connected, Err(ConnectError::Timeout)));
    assert_eq!(pools.open_connections(endpoint().address), 0);
}
