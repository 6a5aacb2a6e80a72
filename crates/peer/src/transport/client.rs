//! Calls to other instances.

use super::Shared;
use super::connection::Connections;
use super::observe::{Observer, TransportEvent};
use crate::codec::{self, CodecError};
use crate::{PeerClient, PeerEndpoint, PeerError, Reply, Request, RequestKind};
use async_trait::async_trait;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of calls in flight; further ones wait.
const MAX_IN_FLIGHT: usize = 256;

/// Timeout of a short request.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a request or reply that carries bulk data.
const BULK_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// A call queued for the transport's thread.
pub(super) struct Call {
    to: PeerEndpoint,
    message: Vec<u8>,
    timeout: Duration,
    reply: oneshot::Sender<Result<Vec<u8>, PeerError>>,
}

/// Calls other instances over a transport.
pub struct TransportClient {
    calls: mpsc::Sender<Call>,
    in_flight: Semaphore,
    observer: Arc<dyn Observer>,
}

impl TransportClient {
    pub(super) fn new(calls: mpsc::Sender<Call>, observer: Arc<dyn Observer>) -> Self {
        Self { calls, in_flight: Semaphore::new(MAX_IN_FLIGHT), observer }
    }

    async fn try_call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError> {
        let kind = request.kind();
        let message = codec::encode_request(&request).map_err(|error| match error {
            CodecError::TooLarge => PeerError::TooLarge,
            CodecError::Malformed | CodecError::UnknownKind => PeerError::UnexpectedReply,
        })?;
        let timeout = timeout_for(kind);
        // On a timeout here nothing was sent yet, so the call counts as unreachable.
        let _permit = tokio::time::timeout(timeout, self.in_flight.acquire())
            .await
            .map_err(|_| PeerError::Unreachable)?;
        let (reply, reply_receiver) = oneshot::channel();
        let call = Call { to: to.clone(), message, timeout, reply };
        self.calls.send(call).await.map_err(|_| PeerError::Unreachable)?;
        let bytes = reply_receiver.await.unwrap_or(Err(PeerError::Broken))?;
        let reply = codec::decode_reply(&bytes).map_err(|_| PeerError::UnexpectedReply)?;
        if reply.matches_kind(kind) { Ok(reply) } else { Err(PeerError::UnexpectedReply) }
    }
}

#[async_trait]
impl PeerClient for TransportClient {
    async fn call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError> {
        let kind = request.kind();
        let reply = self.try_call(to, request).await;
        let error = reply.as_ref().err().copied();
        self.observer.observe(TransportEvent::Called { kind, error });
        reply
    }
}

fn timeout_for(kind: RequestKind) -> Duration {
    match kind {
        RequestKind::Manifest | RequestKind::Chunk | RequestKind::HandOver => BULK_TIMEOUT,
        RequestKind::Digest | RequestKind::Grant | RequestKind::Release | RequestKind::Promise => {
            SHORT_TIMEOUT
        }
    }
}

/// Makes queued calls, each in its own task, until the last client is dropped; never returns.
pub(super) async fn run_calls(shared: Arc<Shared>, mut calls: mpsc::Receiver<Call>) {
    let connections = Rc::new(Connections::new(shared));
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { break };
                tokio::task::spawn_local(run_call(connections.clone(), call));
            }
            _ = idle_check.tick() => connections.close_idle(),
        }
    }
    // Returning would end the transport, which still handles requests of other instances.
    std::future::pending().await
}

async fn run_call(connections: Rc<Connections>, call: Call) {
    let result = send(&connections, &call).await;
    // Sending fails when the caller has stopped waiting.
    let _ = call.reply.send(result);
}

async fn send(connections: &Connections, call: &Call) -> Result<Vec<u8>, PeerError> {
    let connection = connections.get(&call.to).await?;
    let sent_at = Instant::now();
    let reply = tokio::time::timeout(call.timeout, connection.call(&call.message)).await;
    let result = reply.unwrap_or(Err(PeerError::Timeout));
    let is_unusable = match result {
        Err(PeerError::Broken) => true,
        // If no reply arrived meanwhile, the other side may be gone without a reset; otherwise only
        // this reply is slow.
        Err(PeerError::Timeout) => !connection.replied_since(sent_at),
        _ => false,
    };
    if is_unusable {
        connections.close(call.to.address, &connection);
    }
    result
}
