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

/// Most calls under way at once; further ones wait.
const MAX_IN_FLIGHT: usize = 256;

/// Longest wait for the reply to a short request.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait for the reply to a request that carries bulk.
const BULK_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time between two searches for idle connections.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// A call on its way to the transport's thread.
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
        let timeout = timeout_of(kind);
        // Waiting here means that nothing was sent yet.
        let _permit = tokio::time::timeout(timeout, self.in_flight.acquire())
            .await
            .map_err(|_| PeerError::Unreachable)?;
        let (reply, replied) = oneshot::channel();
        let call = Call { to: to.clone(), message, timeout, reply };
        self.calls.send(call).await.map_err(|_| PeerError::Unreachable)?;
        let bytes = replied.await.unwrap_or(Err(PeerError::Broken))?;
        let reply = codec::decode_reply(&bytes).map_err(|_| PeerError::UnexpectedReply)?;
        if reply.fits(kind) { Ok(reply) } else { Err(PeerError::UnexpectedReply) }
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

fn timeout_of(kind: RequestKind) -> Duration {
    match kind {
        RequestKind::Manifest | RequestKind::Chunk | RequestKind::HandOver => BULK_TIMEOUT,
        RequestKind::Digest | RequestKind::Grant | RequestKind::Release | RequestKind::Promise => {
            SHORT_TIMEOUT
        }
    }
}

/// Carries calls, each on its own, until the last client is gone.
pub(super) async fn carry(shared: Arc<Shared>, mut calls: mpsc::Receiver<Call>) {
    let connections = Rc::new(Connections::new(shared));
    let mut idle = tokio::time::interval(IDLE_PERIOD);
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { break };
                tokio::task::spawn_local(carry_one(connections.clone(), call));
            }
            _ = idle.tick() => connections.close_idle(),
        }
    }
    // Other instances are still answered.
    std::future::pending().await
}

async fn carry_one(connections: Rc<Connections>, call: Call) {
    let result = send(&connections, &call).await;
    // The caller may have given up.
    let _ = call.reply.send(result);
}

async fn send(connections: &Connections, call: &Call) -> Result<Vec<u8>, PeerError> {
    let connection = connections.get(&call.to).await?;
    let sent_at = Instant::now();
    let reply = tokio::time::timeout(call.timeout, connection.call(&call.message)).await;
    let result = reply.unwrap_or(Err(PeerError::Timeout));
    let useless = match result {
        Err(PeerError::Broken) => true,
        // The other side may be gone without a trace, or one answer may just be slow.
        Err(PeerError::Timeout) => !connection.replied_since(sent_at),
        _ => false,
    };
    if useless {
        connections.forget(call.to.address, &connection);
    }
    result
}
