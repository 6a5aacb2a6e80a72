//! Handling of requests from other instances, outside the transport's thread.

use super::Shared;
use super::observe::Refusal;
use crate::{PeerService, Reply, Request, Sender};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Maximum time to handle a request.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Passes requests to the service.
pub(super) struct RequestHandler {
    pub(super) shared: Arc<Shared>,
    pub(super) service: Arc<dyn PeerService>,
    /// Runtime of the service, so that it does not block the transport's thread.
    pub(super) service_runtime: Handle,
}

impl RequestHandler {
    /// Has the service handle a request; a timeout or panic results in [`Refusal::Timeout`].
    pub(super) async fn handle(&self, from: Sender, request: Request) -> Result<Reply, Refusal> {
        let service = self.service.clone();
        let handling = async move { service.handle(from, request).await };
        let task = self.service_runtime.spawn(tokio::time::timeout(HANDLER_TIMEOUT, handling));
        match task.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(Refusal::Timeout),
        }
    }
}
