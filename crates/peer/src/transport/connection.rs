//! Connections to other instances, opened on demand and reused.

use super::observe::{CountingStream, TransportEvent};
use super::rpc::system;
use super::{CONNECT_TIMEOUT, HandshakeError, Shared, handshake};
use crate::peer_capnp::peer;
use crate::{PeerEndpoint, PeerError};
use capnp_rpc::rpc_twoparty_capnp::Side;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Connections to other instances by address.
pub(super) struct Connections {
    shared: Arc<Shared>,
    slots: RefCell<HashMap<SocketAddr, Rc<Slot>>>,
}

/// Slot for the connection to one address.
struct Slot {
    live: Mutex<Option<Rc<Connection>>>,
    used_at: Cell<Instant>,
}

/// An authenticated connection.
pub(super) struct Connection {
    client: peer::Client,
    rpc_task: JoinHandle<()>,
    replied_at: Cell<Instant>,
}

impl Connections {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, slots: RefCell::default() }
    }

    /// Returns the connection to an instance, and opens it if there is none.
    pub(super) async fn get(&self, to: &PeerEndpoint) -> Result<Rc<Connection>, PeerError> {
        let slot = self.slot(to.address);
        let get_or_connect = async {
            let mut live = slot.live.lock().await;
            match &*live {
                Some(connection) if !connection.rpc_task.is_finished() => Ok(connection.clone()),
                _ => {
                    let connection = Rc::new(self.connect(to).await?);
                    Ok(live.insert(connection).clone())
                }
            }
        };
        tokio::time::timeout(CONNECT_TIMEOUT, get_or_connect)
            .await
            .unwrap_or(Err(PeerError::Unreachable))
    }

    /// Closes a connection, so that the next call opens another one.
    pub(super) fn close(&self, address: SocketAddr, connection: &Rc<Connection>) {
        connection.rpc_task.abort();
        let slot = self.slot(address);
        if let Ok(mut live) = slot.live.try_lock()
            && live.as_ref().is_some_and(|live| Rc::ptr_eq(live, connection))
        {
            *live = None;
        }
    }

    /// Closes connections without calls for [`IDLE_TIMEOUT`].
    pub(super) fn close_idle(&self) {
        let now = Instant::now();
        let in_use = |slot: &Rc<Slot>| {
            Rc::strong_count(slot) > 1 || now.duration_since(slot.used_at.get()) < IDLE_TIMEOUT
        };
        self.slots.borrow_mut().retain(|_, slot| in_use(slot));
    }

    fn slot(&self, address: SocketAddr) -> Rc<Slot> {
        let mut slots = self.slots.borrow_mut();
        let new_slot =
            || Rc::new(Slot { live: Mutex::default(), used_at: Cell::new(Instant::now()) });
        let slot = slots.entry(address).or_insert_with(new_slot);
        slot.used_at.set(Instant::now());
        slot.clone()
    }

    async fn connect(&self, to: &PeerEndpoint) -> Result<Connection, PeerError> {
        let stream = self.shared.connect.connect(to).await.map_err(|_| PeerError::Unreachable)?;
        let mut stream = CountingStream::new(stream, self.shared.observer.clone());
        let handshake = handshake::connect(&mut stream, &self.shared.sender, &self.shared.keys);
        if let Err(error) = handshake.await {
            self.shared.observer.observe(TransportEvent::HandshakeFailed(error));
            return Err(match error {
                HandshakeError::Closed | HandshakeError::Timeout => PeerError::Unreachable,
                _ => PeerError::Unauthenticated,
            });
        }
        let mut system = system(stream, Side::Client, None);
        let client = system.bootstrap(Side::Server);
        let rpc_task = tokio::task::spawn_local(async move {
            // The error is not needed here: the connection's calls fail as well.
            let _ = system.await;
        });
        Ok(Connection { client, rpc_task, replied_at: Cell::new(Instant::now()) })
    }
}

impl Connection {
    /// Sends a message and waits for the reply to it.
    pub(super) async fn call(&self, message: &[u8]) -> Result<Vec<u8>, PeerError> {
        let mut request = self.client.call_request();
        request.get().set_message(message);
        let response = request.send().promise.await.map_err(|_| PeerError::Broken)?;
        self.replied_at.set(Instant::now());
        let reply = response.get().and_then(|results| results.get_message());
        Ok(reply.map_err(|_| PeerError::UnexpectedReply)?.to_vec())
    }

    /// Returns whether any reply arrived since `time`.
    pub(super) fn replied_since(&self, time: Instant) -> bool {
        self.replied_at.get() >= time
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}
