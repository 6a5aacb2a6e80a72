//! Connections to backend servers, counted and reused.

use crate::connection::dialer::{Dialer, Endpoint};
use crate::request::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Connections to all backend servers.
#[derive(Default)]
pub struct Pools {
    pools: Mutex<HashMap<SocketAddr, Arc<Mutex<Pool>>>>,
}

/// Longest time that a connection stays open without use.
///
/// Shorter than the usual timeout of backend servers, so that they seldom close first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most connections to one backend server that stay open without use.
const MAX_IDLE: usize = 32;

/// Longest wait for a connection: several round trips between the farthest regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to one backend server.
#[derive(Default)]
struct Pool {
    /// In the order in which they became idle.
    idle: VecDeque<IdleConnection>,
    open: u32,
}

struct IdleConnection {
    sender: SendRequest<Body>,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

/// A connection taken out of its pool for one exchange.
///
/// Dropping it closes the connection; only [`PooledConnection::reuse`] puts it back.
pub struct PooledConnection {
    /// Sends the request.
    pub sender: Option<SendRequest<Body>>,
    count: ConnectionCount,
}

/// Counts a connection as open until dropped.
struct ConnectionCount {
    pool: Arc<Mutex<Pool>>,
}

/// Why no connection could be had; nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// Our part of the backend server's connections is in use.
    #[error("all {limit} connections are in use")]
    Limit {
        /// Number of connections allowed.
        limit: u32,
    },
    /// The backend server did not accept.
    #[error("no connection: {0}")]
    Dial(#[from] std::io::Error),
    /// The backend server neither accepted nor refused in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout,
    /// The connection broke before it could be used.
    #[error("the connection failed: {0}")]
    Handshake(#[from] hyper::Error),
}

impl Pools {
    /// Takes an idle connection, or makes one if fewer than `limit` are open.
    pub async fn connect(
        &self,
        dialer: &dyn Dialer,
        endpoint: &Endpoint,
        limit: u32,
    ) -> Result<PooledConnection, ConnectError> {
        let pool = self.pools.lock().entry(endpoint.address).or_default().clone();
        if let Some(connection) = take_idle(&pool) {
            return Ok(connection);
        }
        let count = open_one(&pool, limit)?;
        let dialing = tokio::time::timeout(CONNECT_TIMEOUT, dialer.dial(endpoint));
        let stream = dialing.await.map_err(|_| ConnectError::Timeout)??;
        let (sender, connection) =
            http1::Builder::new().handshake::<_, Body>(TokioIo::new(stream)).await?;
        // A connection error also reaches whoever waits for the answer.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PooledConnection { sender: Some(sender), count })
    }

    /// Returns the number of connections open to a backend server.
    pub fn open(&self, address: SocketAddr) -> u32 {
        self.pools.lock().get(&address).map_or(0, |pool| pool.lock().open)
    }

    /// Closes the idle connections to backend servers that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        for (address, pool) in self.pools.lock().iter() {
            if !keep(*address) {
                pool.lock().close_idle(|_| false);
            }
        }
    }

    /// Closes the connections that were idle for long or that the backend server closed.
    pub fn expire(&self) {
        for pool in self.pools.lock().values() {
            pool.lock().close_idle(IdleConnection::is_usable);
        }
    }
}

impl Pool {
    fn close_idle(&mut self, keep: impl Fn(&IdleConnection) -> bool) {
        let before = self.idle.len();
        self.idle.retain(keep);
        self.open -= (before - self.idle.len()) as u32;
    }
}

/// Takes the connection that was used last, so that those not needed expire.
fn take_idle(pool: &Arc<Mutex<Pool>>) -> Option<PooledConnection> {
    let mut locked = pool.lock();
    while let Some(idle) = locked.idle.pop_back() {
        if idle.is_usable() {
            let count = ConnectionCount { pool: pool.clone() };
            return Some(PooledConnection { sender: Some(idle.sender), count });
        }
        locked.open -= 1;
    }
    None
}

fn open_one(pool: &Arc<Mutex<Pool>>, limit: u32) -> Result<ConnectionCount, ConnectError> {
    let mut locked = pool.lock();
    if locked.open >= limit {
        return Err(ConnectError::Limit { limit });
    }
    locked.open += 1;
    Ok(ConnectionCount { pool: pool.clone() })
}

impl PooledConnection {
    /// Puts the connection back once its exchange is whole, both ways.
    pub fn reuse(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        tokio::spawn(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let pool = self.count.pool.clone();
            let mut locked = pool.lock();
            if locked.idle.len() < MAX_IDLE {
                locked.idle.push_back(IdleConnection { sender, since: Instant::now() });
                // It stays open: counterbalances the drop of `self.count`.
                locked.open += 1;
            }
        });
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}
