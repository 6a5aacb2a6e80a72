//! Transport of requests to and from other instances.

use super::configuration::answer::{answer_chunk, answer_manifest};
use super::gossip;
use super::ledger::hand_over::answer_hand_over;
use super::machine::max_peer_connections;
use super::peer_metrics::PeerMetrics;
use super::{Process, shares};
use crate::connection::dialer::{Dialer, Endpoint};
use crate::error::DaemonError;
use crate::settings::{Secret, Settings};
use async_trait::async_trait;
use peer::transport::{Keys, Starter};
use peer::{
    Connect, PeerEndpoint, PeerService, Reply, Request, Sender, TransportClient, TransportSettings,
};
use std::io;
use std::sync::Arc;
use steering::Incarnation;

/// Creates the peer transport of a daemon.
pub fn transport(
    settings: &Settings,
    incarnation: Incarnation,
    dialer: Arc<dyn Dialer>,
    metrics: PeerMetrics,
) -> Result<(TransportClient, Starter), DaemonError> {
    let keys = Keys::new(settings.peer_keys.iter().map(Secret::expose))?;
    let sender = Sender {
        name: settings.name.clone(),
        availability_zone: settings.availability_zone.clone(),
        incarnation: incarnation.0,
    };
    Ok(peer::transport(TransportSettings {
        sender,
        keys,
        connect: Arc::new(DialedConnect(dialer)),
        observer: Arc::new(metrics),
        max_connections: max_peer_connections(),
    }))
}

/// Connects to peers through the daemon's dialer.
struct DialedConnect(Arc<dyn Dialer>);

#[async_trait]
impl Connect for DialedConnect {
    async fn connect(&self, to: &PeerEndpoint) -> io::Result<Box<dyn peer::Stream>> {
        let endpoint =
            Endpoint { address: to.address, availability_zone: to.availability_zone.clone() };
        Ok(Box::new(self.0.dial(&endpoint).await?))
    }
}

/// Handles requests of other instances.
pub struct PeerRequestHandler {
    process: Arc<Process>,
}

impl PeerRequestHandler {
    /// Creates the handler of a daemon.
    pub fn new(process: Arc<Process>) -> Self {
        Self { process }
    }
}

#[async_trait]
impl PeerService for PeerRequestHandler {
    async fn handle(&self, from: Sender, request: Request) -> Reply {
        match request {
            Request::Digest(digest) => gossip::answer(&self.process, &from, digest),
            Request::Manifest(request) => {
                Reply::Manifest(answer_manifest(&self.process, &from, request))
            }
            Request::Chunk(request) => Reply::Chunk(answer_chunk(&self.process, &request)),
            Request::HandOver(request) => Reply::HandOver(answer_hand_over(&self.process, request)),
            Request::Grant(request) => shares::answer_grant(&self.process, &from, &request),
            Request::Release(request) => shares::answer_release(&self.process, &from, request),
            Request::Promise(request) => shares::answer_promise(&self.process, &from, request),
        }
    }
}
