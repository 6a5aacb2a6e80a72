//! The connections that a listener has open, and the end of one without a request when there is no room.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use steering::machine::{Waiting, longest_waiting};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The open connections of a listener.
pub(super) struct OpenConnections {
    limit: usize,
    next_id: AtomicU64,
    by_id: Mutex<HashMap<u64, Arc<OpenConnection>>>,
}

/// An open connection.
struct OpenConnection {
    caller: IpAddr,
    activity: Mutex<Activity>,
    ended: CancellationToken,
}

/// What takes place on a connection.
struct Activity {
    requests: usize,
    /// Time of the end of its last request, or of its begin.
    idle_since: Instant,
}

impl OpenConnection {
    /// Time since its last request; `None` while one is under way.
    fn idle_for(&self) -> Option<Duration> {
        let activity = self.activity.lock();
        (activity.requests == 0).then(|| activity.idle_since.elapsed())
    }
}

impl OpenConnections {
    /// No connections; at most `limit` are open at a time.
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, next_id: AtomicU64::new(0), by_id: Mutex::default() }
    }

    /// Adds a connection until the result is dropped, if need be in place of the one that has been idle longest;
    /// `None` if requests are under way on all.
    pub(super) fn add(self: &Arc<Self>, caller: IpAddr) -> Option<OpenGuard> {
        let mut by_id = self.by_id.lock();
        if by_id.len() >= self.limit {
            let idle = by_id.iter().filter_map(|(id, open)| {
                open.idle_for().map(|idle_for| (*id, Waiting::Request, idle_for))
            });
            let (id, _, idle_for) = longest_waiting(idle)?;
            let ended = by_id.remove(&id)?;
            log::info!(
                "connection of {} ended for lack of room, idle for {idle_for:?}",
                ended.caller
            );
            ended.ended.cancel();
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(OpenConnection {
            caller,
            activity: Mutex::new(Activity { requests: 0, idle_since: Instant::now() }),
            ended: CancellationToken::new(),
        });
        by_id.insert(id, connection.clone());
        Some(OpenGuard { connections: self.clone(), id, connection })
    }
}

/// Counts a connection as open until this is dropped.
pub(super) struct OpenGuard {
    connections: Arc<OpenConnections>,
    id: u64,
    connection: Arc<OpenConnection>,
}

impl OpenGuard {
    /// Waits until the connection is ended for lack of room.
    pub(super) async fn ended(&self) {
        self.connection.ended.cancelled().await;
    }

    /// Counts its requests.
    pub(super) fn request_counter(&self) -> RequestCounter {
        RequestCounter(self.connection.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.by_id.lock().remove(&self.id);
    }
}

/// Counts the requests of a connection.
#[derive(Clone)]
pub(super) struct RequestCounter(Arc<OpenConnection>);

impl RequestCounter {
    /// Counts a request as under way until the result is dropped.
    pub(super) fn begin(&self) -> UnderWay {
        self.0.activity.lock().requests += 1;
        UnderWay(self.0.clone())
    }
}

/// A request that is under way until this is dropped.
pub(super) struct UnderWay(Arc<OpenConnection>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut activity = self.0.activity.lock();
        activity.requests -= 1;
        activity.idle_since = Instant::now();
    }
}
