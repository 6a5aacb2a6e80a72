//! Accepts connections and serves HTTP/1.1 and HTTP/2 on them.

use super::counted_body::CountedBody;
use super::open_connections::{OpenConnections, OpenGuard};
use crate::error::DaemonError;
use crate::process::Process;
use crate::request::body::Body;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest wait for the complete head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 << 10;

/// Requests at a time on one connection with HTTP/2.
const MAX_STREAMS: u32 = 32;

/// Bytes of one request, and of all requests of a connection, that a caller may send ahead with HTTP/2, and bytes of a
/// response that wait to be sent.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 128 << 10;
const MAX_SEND_BUFFER_BYTES: usize = 16 << 10;

/// Time for which a connection without a request stays open after the listener closes, because its
/// first request may be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// Pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listener and updates `address` to the address that it is bound to.
pub async fn bind(
    purpose: &'static str,
    address: &mut SocketAddr,
) -> Result<TcpListener, DaemonError> {
    let listen_error = |source| DaemonError::Listen { purpose, address: *address, source };
    let listener = TcpListener::bind(*address).await.map_err(listen_error)?;
    *address = listener.local_addr().map_err(listen_error)?;
    Ok(listener)
}

/// A listener and the connections that it accepted.
pub struct Listener {
    accept_task: JoinHandle<()>,
    connections: TaskTracker,
    closing: CancellationToken,
    aborting: CancellationToken,
}

impl Listener {
    /// Starts accepting connections, of which at most `limit` are open at a time, and handles their requests with
    /// `serve`.
    pub fn start<F, S>(listener: TcpListener, limit: usize, process: Arc<Process>, serve: S) -> Self
    where
        F: Future<Output = Response<Body>> + Send + 'static,
        S: Fn(Arc<Process>, SocketAddr, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    {
        let connections = TaskTracker::new();
        let closing = CancellationToken::new();
        let aborting = CancellationToken::new();
        let accept_task = tokio::spawn(accept(
            listener,
            Arc::new(OpenConnections::new(limit)),
            process,
            serve,
            connections.clone(),
            closing.clone(),
            aborting.clone(),
        ));
        Self { accept_task, connections, closing, aborting }
    }

    /// Stops accepting connections; each open one is closed once its requests are answered.
    pub fn close(&self) {
        self.closing.cancel();
        self.connections.close();
    }

    /// Waits until all connections have closed, after [`close`](Self::close).
    pub async fn closed(&self) {
        self.connections.wait().await;
    }

    /// Aborts all connections.
    pub fn abort(&mut self) {
        self.accept_task.abort();
        self.aborting.cancel();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept<F, S>(
    listener: TcpListener,
    open: Arc<OpenConnections>,
    process: Arc<Process>,
    serve: S,
    connections: TaskTracker,
    closing: CancellationToken,
    aborting: CancellationToken,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
    S: Fn(Arc<Process>, SocketAddr, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
{
    loop {
        // Connections already in the backlog when the listener closes are still accepted.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(guard) = open.add(peer.ip()) else {
            log::info!("connection of {peer} refused for lack of room");
            continue;
        };
        let closing = closing.clone();
        let connection = serve_connection(stream, peer, guard, process.clone(), serve, closing);
        let aborting = aborting.clone();
        connections.spawn(async move {
            tokio::select! {
                () = connection => {}
                () = aborting.cancelled() => {}
            }
        });
    }
}

async fn serve_connection<F, S>(
    stream: TcpStream,
    peer: SocketAddr,
    open: OpenGuard,
    process: Arc<Process>,
    serve: S,
    closing: CancellationToken,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
    S: Fn(Arc<Process>, SocketAddr, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
{
    // A failure only affects latency.
    let _ = stream.set_nodelay(true);
    let first_request = CancellationToken::new();
    let request_seen = first_request.clone();
    let requests = open.request_counter();
    let service = service_fn(move |request: Request<Incoming>| {
        request_seen.cancel();
        let version = request.version();
        let process = process.clone();
        let under_way = requests.begin();
        async move {
            let mut response = serve(process.clone(), peer, request).await;
            if process.is_draining() && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody { body, _under_way: under_way }))
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The caller notices a connection error itself, so the error is ignored here.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = open.ended() => {}
        () = wait_until_closable(closing, first_request) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Waits until the listener closes and the connection has sent a request or used up its grace period.
async fn wait_until_closable(closing: CancellationToken, first_request: CancellationToken) {
    closing.cancelled().await;
    // In both cases the connection is closed after the requests it has sent.
    let _ = tokio::time::timeout(FIRST_REQUEST_GRACE, first_request.cancelled()).await;
}
