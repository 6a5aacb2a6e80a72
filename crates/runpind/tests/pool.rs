//! Connection pools of backend servers: limits, reuse, and abandoned exchanges.

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

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A dialer that passes the server end of each connection to the test.
struct FakeDialer {
    dialed: AtomicUsize,
    accepted: mpsc::UnboundedSender<DuplexStream>,
}

#[async_trait]
impl Dialer for FakeDialer {
    async fn dial(&self, _endpoint: &Endpoint) -> io::Result<BoxStream> {
        self.dialed.fetch_add(1, Ordering::SeqCst);
        let (client, server) = tokio::io::duplex(1 << 16);
        self.accepted.send(server).map_err(io::Error::other)?;
        Ok(Box::new(client))
    }
}

/// A dialer that never completes, as when an availability zone is unreachable.
struct SilentDialer;

#[async_trait]
impl Dialer for SilentDialer {
    async fn dial(&self, _endpoint: &Endpoint) -> io::Result<BoxStream> {
        std::future::pending().await
    }
}

fn fake_dialer() -> (FakeDialer, mpsc::UnboundedReceiver<DuplexStream>) {
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

/// Sends a request, responds to it, and returns the connection to its pool.
async fn exchange(mut connection: PooledConnection, stream: &mut DuplexStream) {
    let sender = connection.sender.as_mut().expect("a sender");
    let responding = async {
        read_head(stream).await;
        stream.write_all(RESPONSE).await.expect("response written");
    };
    let (response, ()) = tokio::join!(sender.send_request(get_request()), responding);
    response.expect("a response").into_body().collect().await.expect("a complete body");
    connection.reuse();
    // A separate task returns the connection.
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
}

fn get_request() -> Request<body::Body> {
    Request::get("/").header("host", "x").body(body::full("")).expect("a request")
}

#[tokio::test(start_paused = true)]
async fn complete_exchange_returns_its_connection_to_the_pool() {
    let (dialer, mut connections) = fake_dialer();
    let pools = Pools::default();
    let first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    exchange(first, &mut stream).await;

    let second = pools.connect(&dialer, &endpoint(), 1).await;

    assert!(second.is_ok());
    assert_eq!(dialer.dialed.load(Ordering::SeqCst), 1);
}

#[tokio::test(start_paused = true)]
async fn connection_of_an_abandoned_exchange_is_closed_and_not_reused() {
    let (dialer, mut connections) = fake_dialer();
    let pools = Pools::default();
    let mut first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    {
        let sending = first.sender.as_mut().expect("a sender").send_request(get_request());
        tokio::select! {
            _ = sending => unreachable!("the server does not respond"),
            () = read_head(&mut stream) => {}
        }
    }
    drop(first);

    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("closed");
    let second = pools.connect(&dialer, &endpoint(), 1).await;

    assert!(second.is_ok(), "the closed connection no longer counts as open");
    assert_eq!(dialer.dialed.load(Ordering::SeqCst), 2);
}

#[tokio::test(start_paused = true)]
async fn limit_counts_connections_in_use_and_idle_ones_expire() {
    let (dialer, mut connections) = fake_dialer();
    let pools = Pools::default();
    let first = pools.connect(&dialer, &endpoint(), 1).await.expect("connected");
    let mut stream = connections.recv().await.expect("dialed");
    let over_limit = pools.connect(&dialer, &endpoint(), 1).await;
    exchange(first, &mut stream).await;
    let open_before = pools.open_connections(endpoint().address);

    tokio::time::advance(Duration::from_secs(60)).await;
    pools.expire();

    assert!(matches!(over_limit, Err(ConnectError::Limit { limit: 1 })));
    assert_eq!((open_before, pools.open_connections(endpoint().address)), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn connecting_to_an_unresponsive_backend_server_times_out() {
    let pools = Pools::default();

    let connected = pools.connect(&SilentDialer, &endpoint(), 1).await;

    assert!(matches!(connected, Err(ConnectError::Timeout)));
    assert_eq!(pools.open_connections(endpoint().address), 0);
}
