//! Pools of connections to backend servers and relaying instances.

use super::carried::Carried;
use super::dial::{DIAL_TIMEOUT, dial, dial_from, is_exhaustion};
use super::handshake::handshake;
use super::read_budget::{BudgetedStream, ReadBudget};
use super::remainder::Remainder;
use crate::process::clock::Clock;
use crate::request::body::RequestBody;
use futures::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use steering::Time;
use steering::placement::Incarnation;
use steering::terms::timings::ConnectionTimings;

/// Idle timeout of a connection whose backend server announced none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time by which an idle connection is dropped before the backend server closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1200);

/// Bytes that a backend server may send before its response, interim responses included: several of the longest
/// heads.
const MAX_BYTES_BEFORE_RESPONSE: u64 = 256 * 1024;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// All connections that this instance may open are in use.
    #[error("all {0} connections are in use")]
    Limit(usize),
    /// This process or machine lacks what a connection needs.
    #[error("no descriptor or memory for a connection: {0}")]
    Exhausted(io::Error),
    /// Connecting failed.
    #[error("failed to connect: {0}")]
    Dial(io::Error),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

impl PoolError {
    /// Returns whether the cause is this instance, so that nothing is known of the other side.
    pub fn is_own(&self) -> bool {
        matches!(self, Self::Limit(_) | Self::Exhausted(_))
    }
}

impl From<io::Error> for PoolError {
    fn from(error: io::Error) -> Self {
        if is_exhaustion(&error) { Self::Exhausted(error) } else { Self::Dial(error) }
    }
}

struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

impl IdleConnection {
    fn is_usable(&self, now: Time) -> bool {
        self.expires_at > now && !self.connection.sender.is_closed()
    }
}

#[derive(Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    open_count: usize,
    /// Whether a spare connection is being opened.
    is_opening_spare: bool,
    /// Idle timeout that the other side announced last.
    idle_timeout: Option<Duration>,
}

/// The connections to all backend servers and relaying instances, by incarnation.
#[derive(Clone)]
pub struct Pools {
    clock: Rc<Clock>,
    timings: ConnectionTimings,
    /// Address by which other instances know this one.
    own_host: IpAddr,
    by_server: Rc<RefCell<HashMap<Incarnation, Pool>>>,
}

/// A connection that is in use.
pub struct Connection {
    /// The backend server or instance at the other end.
    pub remote: Incarnation,
    sender: SendRequest<RequestBody>,
    /// Bytes that may precede its next response.
    budget: ReadBudget,
    /// Whether it was opened for this use.
    pub is_new: bool,
    /// What it has carried, this use included.
    pub carried: Carried,
    /// What follows its last response.
    pub remainder: Remainder,
}

impl Connection {
    /// Sends a request and returns the response, as its head arrives.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or its bytes are no response.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
        self.budget.set(MAX_BYTES_BEFORE_RESPONSE);
        let response = self.sender.try_send_request(request).await;
        self.budget.lift();
        response
    }
}

impl Pools {
    /// Pools without connections. Idle timeouts use a clock that includes suspensions, as the time
    /// passes for backend servers meanwhile.
    pub fn new(clock: Rc<Clock>, timings: ConnectionTimings, own_host: IpAddr) -> Self {
        Self { clock, timings, own_host, by_server: Rc::default() }
    }

    /// Takes an idle connection on which no response can be taken for one to this request, or opens one
    /// while there are fewer than `limit`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection; nothing was sent then.
    pub async fn acquire(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        limit: usize,
        request_id: Option<&str>,
    ) -> Result<Connection, PoolError> {
        self.acquire_from(server, address, limit, None, request_id).await
    }

    /// As [`Pools::acquire`], for a connection to another instance: it comes from the address by which
    /// the other knows this one.
    ///
    /// # Errors
    ///
    /// As [`Pools::acquire`].
    pub async fn acquire_to_instance(
        &self,
        instance: &Incarnation,
        address: SocketAddr,
        limit: usize,
        request_id: Option<&str>,
    ) -> Result<Connection, PoolError> {
        self.acquire_from(instance, address, limit, Some(self.own_host), request_id).await
    }

    async fn acquire_from(
        &self,
        remote: &Incarnation,
        address: SocketAddr,
        limit: usize,
        source: Option<IpAddr>,
        request_id: Option<&str>,
    ) -> Result<Connection, PoolError> {
        let mut connection = match self.take_idle(remote, request_id) {
            Some(connection) => connection,
            // Boxed: most requests find a connection, and their futures stay small.
            None => Box::pin(self.open(remote, address, limit, source)).await?,
        };
        connection.carried.begin_exchange(request_id);
        Ok(connection)
    }

    /// Opens a spare connection to another instance if none is idle or being opened as a spare, so that
    /// the next request does not wait for one.
    pub fn open_spare(&self, server: &Incarnation, address: SocketAddr, limit: usize) {
        {
            let mut pools = self.by_server.borrow_mut();
            let Some(pool) = pools.get_mut(server) else { return };
            if pool.is_opening_spare || !pool.idle.is_empty() || pool.open_count >= limit {
                return;
            }
            pool.is_opening_spare = true;
        }
        let (pools, server) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            let opened = pools.open(&server, address, limit, Some(pools.own_host)).await;
            let idle_timeout = match pools.by_server.borrow_mut().get_mut(&server) {
                Some(pool) => {
                    pool.is_opening_spare = false;
                    pool.idle_timeout
                }
                None => None,
            };
            // If this fails, the next request tries to connect itself.
            if let Ok(connection) = opened {
                pools.release(connection, idle_timeout);
            }
        });
    }

    async fn open(
        &self,
        server: &Incarnation,
        address: SocketAddr,
        limit: usize,
        source: Option<IpAddr>,
    ) -> Result<Connection, PoolError> {
        {
            let mut pools = self.by_server.borrow_mut();
            let pool = pools.entry(server.clone()).or_default();
            if pool.open_count >= limit {
                return Err(PoolError::Limit(limit));
            }
            pool.open_count += 1;
        }
        // Counts the connection as open until the guard is dropped, on every path.
        let guard = OpenGuard { pools: self.clone(), server: server.clone() };
        let stream = match source {
            Some(source) => dial_from(source, address, DIAL_TIMEOUT, self.timings).await?,
            None => dial(address, DIAL_TIMEOUT, self.timings).await?,
        };
        let carried = Carried::nothing(stream.local_addr()?.port());
        let budget = ReadBudget::new(MAX_BYTES_BEFORE_RESPONSE);
        let stream = BudgetedStream { stream, budget: budget.clone() };
        let (sender, remainder, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            driver.await;
            drop(guard);
        });
        let remote = server.clone();
        Ok(Connection { remote, sender, budget, is_new: true, carried, remainder })
    }

    /// Returns whether an idle connection to an incarnation is open that may carry the request.
    pub fn has_idle(&self, server: &Incarnation, request_id: Option<&str>) -> bool {
        let pools = self.by_server.borrow();
        let now = self.clock.now();
        pools.get(server).is_some_and(|pool| {
            pool.idle
                .iter()
                .any(|idle| idle.is_usable(now) && idle.connection.carried.permits(request_id))
        })
    }

    fn take_idle(&self, server: &Incarnation, request_id: Option<&str>) -> Option<Connection> {
        let mut pools = self.by_server.borrow_mut();
        let pool = pools.get_mut(server)?;
        let now = self.clock.now();
        pool.idle.retain(|idle| idle.is_usable(now));
        loop {
            let may_carry = |idle: &IdleConnection| idle.connection.carried.permits(request_id);
            let position = pool.idle.iter().rposition(may_carry)?;
            let IdleConnection { mut connection, .. } = pool.idle.remove(position);
            // A connection that is not ready at once has not finished its last exchange.
            if matches!(connection.sender.ready().now_or_never(), Some(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool; `idle_timeout` is what the other side announced.
    pub fn release(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        let announced = idle_timeout;
        let idle_timeout = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let is_usable = !connection.sender.is_closed() && connection.carried.permits_others();
        if !is_usable || idle_timeout.is_zero() {
            return;
        }
        connection.is_new = false;
        let expires_at = self.clock.now() + idle_timeout;
        if let Some(pool) = self.by_server.borrow_mut().get_mut(&connection.remote) {
            pool.idle_timeout = announced;
            pool.idle.push(IdleConnection { connection, expires_at });
        }
    }

    /// Closes the idle connections to an incarnation.
    pub fn close_idle(&self, server: &Incarnation) {
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
        pool.open_count -= 1;
        if pool.open_count == 0 {
            pools.remove(&self.server);
        }
    }
}
