//! Connections to other instances, made when needed and used again.

use super::observe::{Counted, TransportEvent};
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

/// Time after which a connection without calls is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Connections to other instances, by address.
pub(super) struct Connections {
    shared: Arc<Shared>,
    slots: RefCell<HashMap<SocketAddr, Rc<Slot>>>,
}

/// The place of the connection to one address.
struct Slot {
    live: Mutex<Option<Rc<Connection>>>,
    used_at: Cell<Instant>,
}

/// An authenticated connection.
pub(super) struct Connection {
    client: peer::Client,
    running: JoinHandle<()>,
    replied_at: Cell<Instant>,
}

impl Connections {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, slots: RefCell::default() }
    }

    /// Returns the connection to an instance, and makes it if there is none.
    pub(super) async fn get(&self, to: &PeerEndpoint) -> Result<Rc<Connection>, PeerError> {
        let slot = self.slot(to.address);
        let connected = async {
            let mut live = slot.live.lock().await;
            match &*live {
                Some(connection) if !connection.running.is_finished() => Ok(connection.clone()),
                _ => {
                    let connection = Rc::new(self.connect(to).await?);
                    Ok(live.insert(connection).clone())
                }
            }
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connected)
            .await
            .unwrap_or(Err(PeerError::Unreachable))
    }

    /// Closes a connection that proved to be of no use.
    pub(super) fn forget(&self, address: SocketAddr, connection: &Rc<Connection>) {
        connection.running.abort();
        let slot = self.slot(address);
        if let Ok(mut live) = slot.live.try_lock()
            && live.as_ref().is_some_and(|live| Rc::ptr_eq(live, connection))
        {
            *live = None;
        }
    }

    /// Closes connections that had no call for long.
    pub(super) fn close_idle(&self) {
        let now = Instant::now();
        let in_use = |slot: &Rc<Slot>| {
            Rc::strong_count(slot) > 1 || now.duration_since(slot.used_at.get()) < IDLE_TIMEOUT
        };
        self.slots.borrow_mut().retain(|_, slot| in_use(slot));
    }

    fn slot(&self, address: SocketAddr) -> Rc<Slot> {
        let mut slots = self.slots.borrow_mut();
        let new = || Rc::new(Slot { live: Mutex::default(), used_at: Cell::new(Instant::now()) });
        let slot = slots.entry(address).or_insert_with(new);
        slot.used_at.set(Instant::now());
        slot.clone()
    }

    async fn connect(&self, to: &PeerEndpoint) -> Result<Connection, PeerError> {
        let stream = self.shared.connect.connect(to).await.map_err(|_| PeerError::Unreachable)?;
        let mut stream = Counted::new(stream, self.shared.observer.clone());
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
        let running = tokio::task::spawn_local(async move {
            // How a connection ends is of no use here: its calls fail.
            let _ = system.await;
        });
        Ok(Connection { client, running, replied_at: Cell::new(Instant::now()) })
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

    /// Tells whether any reply came since `time`.
    pub(super) fn replied_since(&self, time: Instant) -> bool {
        self.replied_at.get() >= time
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.running.abort();
    }
}
