//! Accepting connections and serving HTTP/1.1 and HTTP/2 on them.

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

/// Longest wait for a request's complete head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// How long a connection that has sent no request yet is kept once the listener closes: its first
/// request may be on the way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// Pause after an accept failed, as it does when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener and puts the address that it really has into `address`.
pub async fn bind(
    purpose: &'static str,
    address: &mut SocketAddr,
) -> Result<TcpListener, DaemonError> {
    let failed = |source| DaemonError::Listen { purpose, address: *address, source };
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// A listener with the connections it accepted.
pub struct Listener {
    accepting: JoinHandle<()>,
    connections: TaskTracker,
    closing: CancellationToken,
    aborting: CancellationToken,
}

impl Listener {
    /// Serves each connection's requests with `serve`.
    pub fn start<F, S>(listener: TcpListener, process: Arc<Process>, serve: S) -> Self
    where
        F: Future<Output = Response<Body>> + Send + 'static,
        S: Fn(Arc<Process>, SocketAddr, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    {
        let connections = TaskTracker::new();
        let closing = CancellationToken::new();
        let aborting = CancellationToken::new();
        let accepting = tokio::spawn(accept(
            listener,
            process,
            serve,
            connections.clone(),
            closing.clone(),
            aborting.clone(),
        ));
        Self { accepting, connections, closing, aborting }
    }

    /// Accepts no more; each connection ends once its requests are answered.
    pub fn close(&self) {
        self.closing.cancel();
        self.connections.close();
    }

    /// Waits until the last connection has ended, after [`close`](Self::close).
    pub async fn closed(&self) {
        self.connections.wait().await;
    }

    /// Breaks all connections.
    pub fn abort(&mut self) {
        self.accepting.abort();
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
        // What has already connected when the listener closes is still accepted.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve_connection(stream, peer, process.clone(), serve, closing.clone());
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
    process: Arc<Process>,
    serve: S,
    closing: CancellationToken,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
    S: Fn(Arc<Process>, SocketAddr, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
{
    // Only latency suffers when this is refused.
    let _ = stream.set_nodelay(true);
    let requested = CancellationToken::new();
    let request_seen = requested.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        request_seen.cancel();
        let version = request.version();
        let process = process.clone();
        async move {
            let mut response = serve(process.clone(), peer, request).await;
            if process.is_draining() && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEAD_BYTES as u32);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection error is the caller's: it is told by the broken connection itself.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = may_end(closing, requested) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Waits until the listener closes and the connection has sent a request or had the time for it.
async fn may_end(closing: CancellationToken, requested: CancellationToken) {
    closing.cancelled().await;
    // Either way the connection is told to end after what it has sent.
    let _ = tokio::time::timeout(FIRST_REQUEST_GRACE, requested.cancelled()).await;
}
