//! Connections to backend servers, counted and reused.

use crate::connection::dialer::{Dialer, Endpoint};
use crate::request::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Connections to all backend servers.
#[derive(Default)]
pub struct Pools {
    pools: Mutex<HashMap<SocketAddr, Arc<Mutex<Pool>>>>,
}

/// Connections to one backend server.
#[derive(Default)]
struct Pool {
    idle: Vec<SendRequest<Body>>,
    open: u32,
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
        let stream = dialer.dial(endpoint).await?;
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
                let mut pool = pool.lock();
                pool.open -= pool.idle.len() as u32;
                pool.idle.clear();
            }
        }
    }
}

fn take_idle(pool: &Arc<Mutex<Pool>>) -> Option<PooledConnection> {
    let mut locked = pool.lock();
    while let Some(sender) = locked.idle.pop() {
        if sender.is_ready() {
            let count = ConnectionCount { pool: pool.clone() };
            return Some(PooledConnection { sender: Some(sender), count });
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
            if sender.ready().await.is_ok() {
                let pool = self.count.pool.clone();
                let mut locked = pool.lock();
                locked.idle.push(sender);
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
