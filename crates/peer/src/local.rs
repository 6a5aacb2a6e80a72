//! In-process connections between instances, for tests.

use crate::{PeerClient, PeerEndpoint, PeerError, PeerService, Reply, Request, Sender};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The services of several instances by address; their clients call them directly.
#[derive(Clone, Default)]
pub struct LocalPeers {
    services: Arc<Mutex<HashMap<SocketAddr, Arc<dyn PeerService>>>>,
}

impl LocalPeers {
    /// Registers the service reachable at `address`.
    pub fn insert(&self, address: SocketAddr, service: Arc<dyn PeerService>) {
        self.services.lock().insert(address, service);
    }

    /// Makes `address` unreachable.
    pub fn remove(&self, address: SocketAddr) {
        self.services.lock().remove(&address);
    }

    /// Returns a client whose requests name `sender` as their sender.
    pub fn client(&self, sender: Sender) -> impl PeerClient + use<> {
        LocalClient { peers: self.clone(), sender }
    }
}

struct LocalClient {
    peers: LocalPeers,
    sender: Sender,
}

#[async_trait]
impl PeerClient for LocalClient {
    async fn call(&self, to: &PeerEndpoint, request: Request) -> Result<Reply, PeerError> {
        let service = self.peers.services.lock().get(&to.address).cloned();
        let service = service.ok_or(PeerError::Unreachable)?;
        Ok(service.handle(self.sender.clone(), request).await)
    }
}
