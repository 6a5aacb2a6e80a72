//! Connections to backend servers that are used again.

use super::dial::{DIAL_TIMEOUT, dial};
use crate::process::clock::Clock;
use crate::request::body::RequestBody;
use futures::FutureExt;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use steering::Time;
use steering::placement::Incarnation;

/// Rest of a connection whose backend server did not say how long it keeps it.
const DEFAULT_REST: Duration = Duration::from_secs(4);

/// Time by which a connection is given up before the backend server closes it.
const REST_MARGIN: Duration = Duration::from_millis(1200);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// All connections that this instance may open are in use.
    #[error("all {0} connections are in use")]
    Limit(usize),
    /// No connection came up.
    #[error("no connection came up: {0}")]
    Dial(#[from] io::Error),
    /// The connection broke before it was used.
    #[error("connection broke before it was used: {0}")]
    Handshake(#[from] hyper::Error),
}

struct Idle {
    sender: SendRequest<RequestBody>,
    until: Time,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: usize,
    /// Whether a connection is being opened that nobody waits for.
    opens_spare: bool,
    /// Time for which the other side leaves a connection open, as it said last.
    rest: Option<Duration>,
}

/// The connections to all backend servers, and to instances that pass requests on, by incarnation.
#[derive(Clone)]
pub struct Pools {
    clock: Rc<Clock>,
    by_server: Rc<RefCell<HashMap<Incarnation, Pool>>>,
}

/// A connection that is in use.
pub struct Connection {
    /// Whose it is.
    pub to: Incarnation,
    /// Sends a request over it.
    pub sender: SendRequest<RequestBody>,
    /// Whether it was opened for this use.
    pub is_new: bool,
}

impl Pools {
    /// Begins without any connection.  Those that rest go by the time that backend servers see.
    pub fn new(clock: Rc<Clock>) -> Self {
        Self { clock, by_server: Rc::default() }
    }

    /// Takes a connection that rests, or opens one while there are fewer than `limit`.
    ///
    /// # Errors
    ///
    /// Says why there is none; nothing was sent then.
    pub async fn take(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        limit: usize,
    ) -> Result<Connection, PoolError> {
        if let Some(sender) = self.take_idle(server) {
            return Ok(Connection { to: server.clone(), sender, is_new: false });
        }
        let sender = self.open(server, address, limit).await?;
        Ok(Connection { to: server.clone(), sender, is_new: true })
    }

    /// Opens a connection that nobody waits for, if none rests and none is being opened, so that the next
    /// request does not wait for one.
    pub fn open_spare(&self, server: &Incarnation, address: SocketAddr, limit: usize) {
        {
            let mut pools = self.by_server.borrow_mut();
            let Some(pool) = pools.get_mut(server) else { return };
            if pool.opens_spare || !pool.idle.is_empty() || pool.open >= limit {
                return;
            }
            pool.opens_spare = true;
        }
        let (pools, server) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            let opened = pools.open(&server, address, limit).await;
            let rest = match pools.by_server.borrow_mut().get_mut(&server) {
                Some(pool) => {
                    pool.opens_spare = false;
                    pool.rest
                }
                None => None,
            };
            // Where none comes up, the next request finds out.
            if let Ok(sender) = opened {
                pools.keep(Connection { to: server, sender, is_new: true }, rest);
            }
        });
    }

    async fn open(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        limit: usize,
    ) -> Result<SendRequest<RequestBody>, PoolError> {
        {
            let mut pools = self.by_server.borrow_mut();
            let pool = pools.entry(server.clone()).or_default();
            if pool.open >= limit {
                return Err(PoolError::Limit(limit));
            }
            pool.open += 1;
        }
        // Counts the connection as open until this is dropped, wherever that happens.
        let open = OpenGuard { pools: self.clone(), server: server.clone() };
        let stream = dial(address, DIAL_TIMEOUT).await?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            // How it ends is seen by the request that uses it.
            let _ = connection.await;
            drop(open);
        });
        Ok(sender)
    }

    fn take_idle(&self, server: &Incarnation) -> Option<SendRequest<RequestBody>> {
        let mut pools = self.by_server.borrow_mut();
        let pool = pools.get_mut(server)?;
        let now = self.clock.now();
        pool.idle.retain(|idle| idle.until > now && !idle.sender.is_closed());
        while let Some(Idle { mut sender, .. }) = pool.idle.pop() {
            // One that is not ready at once has not got rid of its last exchange.
            if matches!(sender.ready().now_or_never(), Some(Ok(()))) {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection for later; `rest` is the time that the other side leaves it open.
    pub fn keep(&self, connection: Connection, rest: Option<Duration>) {
        let Connection { to, sender, .. } = connection;
        let told = rest;
        let rest = rest.map_or(DEFAULT_REST, |rest| rest.saturating_sub(REST_MARGIN));
        if sender.is_closed() || rest.is_zero() {
            return;
        }
        let until = self.clock.now() + rest;
        if let Some(pool) = self.by_server.borrow_mut().get_mut(&to) {
            pool.rest = told;
            pool.idle.push(Idle { sender, until });
        }
    }

    /// Closes the connections that rest, of an incarnation that is gone.
    pub fn forget(&self, server: &Incarnation) {
        if let Some(pool) = self.by_server.borrow_mut().get_mut(server) {
            pool.idle.clear();
        }
    }
}

struct OpenGuard {
    pools: Pools,
    server: Incarnation,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut pools = self.pools.by_server.borrow_mut();
        let Some(pool) = pools.get_mut(&self.server) else { return };
        pool.open -= 1;
        if pool.open == 0 {
            pools.remove(&self.server);
        }
    }
}
