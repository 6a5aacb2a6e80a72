//! Accepts connections from other instances and handles their requests.

use super::observe::{CountingStream, Refusal, TransportEvent};
use super::request_handler::RequestHandler;
use super::rpc::{RpcHandler, system};
use super::{CONNECT_TIMEOUT, HandshakeError, handshake};
use crate::peer_capnp::peer;
use capnp_rpc::rpc_twoparty_capnp::Side;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Maximum number of requests from other instances handled at once; further ones are refused.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and serves each one in its own task.
pub(super) async fn accept(handler: RequestHandler, listener: std::net::TcpListener) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let handler = Rc::new(handler);
    let connection_permits = Arc::new(Semaphore::new(handler.shared.max_connections));
    let request_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(connection_permit) = connection_permits.clone().try_acquire_owned() else {
            handler.shared.observer.observe(TransportEvent::Refused(Refusal::Connections));
            continue;
        };
        let (handler, request_permits) = (handler.clone(), request_permits.clone());
        tokio::task::spawn_local(async move {
            serve(handler, stream, request_permits).await;
            drop(connection_permit);
        });
    }
}

async fn serve(handler: Rc<RequestHandler>, stream: TcpStream, request_permits: Arc<Semaphore>) {
    // Without it the connection works, with higher latency.
    let _ = stream.set_nodelay(true);
    let shared = handler.shared.clone();
    let mut stream = CountingStream::new(stream, shared.observer.clone());
    let handshake = handshake::accept(&mut stream, &shared.sender, &shared.keys);
    let from = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .unwrap_or(Err(HandshakeError::Timeout));
    match from {
        Ok(from) => {
            let client: peer::Client =
                capnp_rpc::new_client(RpcHandler { handler, from, request_permits });
            // The error is not needed here: the calls fail at the other side.
            let _ = system(stream, Side::Server, Some(client)).await;
        }
        Err(error) => shared.observer.observe(TransportEvent::HandshakeFailed(error)),
    }
}
