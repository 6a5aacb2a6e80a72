//! Connection pools of backend servers, which limit and reuse connections.

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

/// The connection pools of all backend servers.
#[derive(Default)]
pub struct Pools {
    pools: Mutex<HashMap<SocketAddr, Arc<Mutex<Pool>>>>,
}

/// Longest time that a connection stays open without use.
///
/// It is shorter than the usual idle timeout of backend servers, so that they rarely close first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most idle connections to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Longest wait for a connection, which allows several round trips between the farthest regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The connections to one backend server.
#[derive(Default)]
struct Pool {
    /// Idle connections, in the order in which they became idle.
    idle: VecDeque<IdleConnection>,
    /// Number of open connections, idle or in use.
    open: u32,
}

struct IdleConnection {
    sender: SendRequest<Body>,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }
}

/// A connection taken out of its pool for one exchange.
///
/// Dropping it closes the connection; [`PooledConnection::reuse`] returns it to the pool.
pub struct PooledConnection {
    /// Sends requests over the connection.
    pub sender: Option<SendRequest<Body>>,
    permit: ConnectionPermit,
}

/// Counts a connection as open until it is dropped.
struct ConnectionPermit {
    pool: Arc<Mutex<Pool>>,
}

/// The reason why no connection is available; nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This instance's share of the backend server's connections is in use.
    #[error("all {limit} connections are in use")]
    Limit {
        /// Number of connections allowed.
        limit: u32,
    },
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Dial(#[from] std::io::Error),
    /// The backend server neither accepted nor refused the connection in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout,
    /// The connection failed before it could be used.
    #[error("the connection failed: {0}")]
    Handshake(#[from] hyper::Error),
}

impl Pools {
    /// Returns an idle connection, or opens one if fewer than `limit` are open.
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
        let permit = reserve_connection(&pool, limit)?;
        let dialing = tokio::time::timeout(CONNECT_TIMEOUT, dialer.dial(endpoint));
        let stream = dialing.await.map_err(|_| ConnectError::Timeout)??;
        let (sender, connection) =
            http1::Builder::new().handshake::<_, Body>(TokioIo::new(stream)).await?;
        // A connection error is also reported to the sender of the request.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(PooledConnection { sender: Some(sender), permit })
    }

    /// Returns the number of open connections to a backend server.
    pub fn open_connections(&self, address: SocketAddr) -> u32 {
        self.pools.lock().get(&address).map_or(0, |pool| pool.lock().open)
    }

    /// Closes the idle connections to backend servers for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        for (address, pool) in self.pools.lock().iter() {
            if !keep(*address) {
                pool.lock().close_idle(|_| false);
            }
        }
    }

    /// Removes idle connections that have timed out or that the backend server has closed.
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

/// Takes the most recently used idle connection, so that surplus connections expire.
fn take_idle(pool: &Arc<Mutex<Pool>>) -> Option<PooledConnection> {
    let mut locked = pool.lock();
    while let Some(idle) = locked.idle.pop_back() {
        if idle.is_usable() {
            let permit = ConnectionPermit { pool: pool.clone() };
            return Some(PooledConnection { sender: Some(idle.sender), permit });
        }
        locked.open -= 1;
    }
    None
}

/// Counts one more connection as open, if fewer than `limit` are.
fn reserve_connection(
    pool: &Arc<Mutex<Pool>>,
    limit: u32,
) -> Result<ConnectionPermit, ConnectError> {
    let mut locked = pool.lock();
    if locked.open >= limit {
        return Err(ConnectError::Limit { limit });
    }
    locked.open += 1;
    Ok(ConnectionPermit { pool: pool.clone() })
}

impl PooledConnection {
    /// Returns the connection to its pool once the exchange is complete in both directions.
    pub fn reuse(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        tokio::spawn(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let pool = self.permit.pool.clone();
            let mut locked = pool.lock();
            if locked.idle.len() < MAX_IDLE_CONNECTIONS {
                locked.idle.push_back(IdleConnection { sender, idle_since: Instant::now() });
                // The connection stays open, so this offsets the drop of `self.permit`.
                locked.open += 1;
            }
        });
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}
