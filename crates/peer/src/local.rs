//! Peers within one process.

use crate::{PeerClient, PeerEndpoint, PeerError, PeerService, Reply, Request, Sender};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Services of several instances, called directly.
#[derive(Clone, Default)]
pub struct LocalPeers {
    services: Arc<Mutex<HashMap<SocketAddr, Arc<dyn PeerService>>>>,
}

impl LocalPeers {
    /// Makes a service reachable at `address`.
    pub fn insert(&self, address: SocketAddr, service: Arc<dyn PeerService>) {
        self.services.lock().insert(address, service);
    }

    /// Makes nothing reachable at `address`.
    pub fn remove(&self, address: SocketAddr) {
        self.services.lock().remove(&address);
    }

    /// Returns a client that calls as `sender`.
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
        Ok(service.answer(self.sender.clone(), request).await)
    }
}
