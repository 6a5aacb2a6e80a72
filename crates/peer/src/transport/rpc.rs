//! capnp-rpc on a connection.

use super::observe::{Refusal, TransportEvent};
use super::reader_options;
use super::request_handler::RequestHandler;
use crate::codec::{self, CodecError};
use crate::peer_capnp::peer;
use crate::{Reply, Sender, Stream};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use std::rc::Rc;
use std::sync::Arc;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Creates the capnp-rpc system of a connection.
pub(super) fn system(
    stream: impl Stream,
    side: Side,
    bootstrap: Option<peer::Client>,
) -> RpcSystem<Side> {
    let (read, write) = tokio::io::split(stream);
    let network =
        twoparty::VatNetwork::new(read.compat(), write.compat_write(), side, reader_options());
    RpcSystem::new(Box::new(network), bootstrap.map(|client| client.client))
}

/// Handles the requests of one connection.
pub(super) struct RpcHandler {
    pub(super) handler: Rc<RequestHandler>,
    pub(super) from: Sender,
    pub(super) request_permits: Arc<tokio::sync::Semaphore>,
}

impl peer::Server for RpcHandler {
    async fn call(
        self: capnp::capability::Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), capnp::Error> {
        let bytes = params.get()?.get_message()?.to_vec();
        drop(params);
        let reply = match self.handle(&bytes).await {
            Ok(reply) => reply,
            Err(refusal) => {
                self.handler.shared.observer.observe(TransportEvent::Refused(refusal));
                Reply::Refused
            }
        };
        let reply = codec::encode_reply(&reply).or_else(|_| self.refuse_too_large())?;
        results.get().set_message(&reply);
        Ok(())
    }
}

impl RpcHandler {
    async fn handle(&self, bytes: &[u8]) -> Result<Reply, Refusal> {
        let request = codec::decode_request(bytes).map_err(|error| match error {
            CodecError::TooLarge => Refusal::TooLarge,
            CodecError::Malformed => Refusal::Malformed,
            CodecError::UnknownKind => Refusal::UnknownKind,
        })?;
        let _permit = self.request_permits.try_acquire().map_err(|_| Refusal::Busy)?;
        let kind = request.kind();
        let reply = self.handler.handle(self.from.clone(), request).await?;
        self.handler.shared.observer.observe(TransportEvent::Answered(kind));
        Ok(reply)
    }

    /// Records that a reply is too large to send, and returns [`Reply::Refused`] in its place.
    fn refuse_too_large(&self) -> Result<Vec<u8>, capnp::Error> {
        self.handler.shared.observer.observe(TransportEvent::Refused(Refusal::TooLarge));
        codec::encode_reply(&Reply::Refused)
            .map_err(|error| capnp::Error::failed(error.to_string()))
    }
}
