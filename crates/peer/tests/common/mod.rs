//! Helpers for tests of the transport.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use async_trait::async_trait;
use parking_lot::Mutex;
use peer::message::{ManifestRequest, Part};
use peer::transport::{Keys, Observer, TransportEvent};
use peer::{
    Connect, PeerClient, PeerEndpoint, PeerError, PeerService, Reply, Request, Sender, Stream,
    Transport, TransportClient, TransportSettings, transport,
};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

pub(crate) const KEY: &str = "0123456789abcdef";
pub(crate) const OTHER_KEY: &str = "fedcba9876543210";

/// Observer that stores all events.
#[derive(Clone, Default)]
pub(crate) struct Events(Arc<Mutex<Vec<TransportEvent>>>);

impl Observer for Events {
    fn observe(&self, event: TransportEvent) {
        self.0.lock().push(event);
    }
}

impl Events {
    pub(crate) fn count(&self, event: TransportEvent) -> usize {
        self.0.lock().iter().filter(|recorded| **recorded == event).count()
    }

    /// Waits until `event` was recorded.
    pub(crate) async fn wait_for(&self, event: TransportEvent) {
        while self.count(event) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

struct Tcp;

#[async_trait]
impl Connect for Tcp {
    async fn connect(&self, to: &PeerEndpoint) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(TcpStream::connect(to.address).await?))
    }
}

/// Replies to a manifest request with its number as the length and the sender's name as the content.
struct Echo;

#[async_trait]
impl PeerService for Echo {
    async fn handle(&self, from: Sender, request: Request) -> Reply {
        match request {
            Request::Manifest(ManifestRequest { known_number, .. }) => Reply::Manifest(Part {
                total_bytes: known_number,
                offset: 0,
                bytes: from.name.as_bytes().to_vec().into(),
            }),
            _ => Reply::Refused,
        }
    }
}

/// A transport that listens on the loopback address.
pub(crate) struct Node {
    pub(crate) client: TransportClient,
    pub(crate) endpoint: PeerEndpoint,
    pub(crate) events: Events,
    pub(crate) transport: Transport,
}

pub(crate) async fn node(name: &str, keys: &[&str]) -> Node {
    node_at(name, keys, SocketAddr::from(([127, 0, 0, 1], 0)), 16).await
}

pub(crate) async fn node_at(
    name: &str,
    keys: &[&str],
    address: SocketAddr,
    max_connections: usize,
) -> Node {
    let listener = TcpListener::bind(address).await.expect("listener");
    let address = listener.local_addr().expect("address");
    let events = Events::default();
    let (client, starter) = transport(TransportSettings {
        sender: sender(name),
        keys: Keys::new(keys.iter().map(|key| key.as_bytes())).expect("keys"),
        connect: Arc::new(Tcp),
        observer: Arc::new(events.clone()),
        max_connections,
    });
    let listener = listener.into_std().expect("listener");
    let transport = starter.start(listener, Arc::new(Echo)).expect("transport");
    Node { client, endpoint: endpoint(address), events, transport }
}

pub(crate) fn sender(name: &str) -> Sender {
    Sender { name: name.into(), availability_zone: "n1".into(), incarnation: 7 }
}

pub(crate) fn endpoint(address: SocketAddr) -> PeerEndpoint {
    PeerEndpoint { address, availability_zone: "n1".into() }
}

/// Sends a manifest request from a node to an endpoint.
pub(crate) async fn request_manifest(from: &Node, to: &PeerEndpoint) -> Result<Reply, PeerError> {
    from.client
        .call(to, Request::Manifest(ManifestRequest { known_number: 3, number: 0, offset: 0 }))
        .await
}

/// Returns the expected reply to [`request_manifest`] from the node `name`.
pub(crate) fn expected_reply(name: &str) -> Reply {
    let bytes = name.as_bytes().to_vec().into();
    Reply::Manifest(Part { total_bytes: 3, offset: 0, bytes })
}
