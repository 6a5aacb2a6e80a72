//! What the backend servers of an experiment saw and ran, with times and origins.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// One request that arrived at a backend server.
#[derive(Clone, Debug)]
pub struct Visit {
    /// The backend server.
    pub server: SocketAddr,
    /// Availability zone of the instance that sent it, where the dialer told it.
    pub from: Option<Arc<str>>,
    /// When its head arrived.
    pub arrived: Instant,
    /// When the backend server had done with it, whether it ran or not.
    pub ended: Instant,
    /// Whether the backend server ran it.
    pub ran: bool,
}

/// What all backend servers of an experiment ran.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    runs: Arc<Mutex<HashMap<Arc<str>, u32>>>,
    visits: Arc<Mutex<Vec<Visit>>>,
    origins: Origins,
}

/// Availability zone of the instance behind each connection, by the connection's near address.
#[derive(Clone, Debug, Default)]
pub struct Origins(Arc<Mutex<HashMap<SocketAddr, Arc<str>>>>);

impl Origins {
    /// Notes that connections from `address` come from an instance of `zone`.
    pub fn note(&self, address: SocketAddr, zone: Arc<str>) {
        self.0.lock().insert(address, zone);
    }

    fn of(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.0.lock().get(&address).cloned()
    }
}

impl RunRecord {
    /// Makes a record that knows where connections come from.
    pub fn with_origins(origins: Origins) -> Self {
        Self { origins, ..Self::default() }
    }

    /// Returns how often the request with this id was run.
    pub fn times_run(&self, id: &str) -> u32 {
        self.runs.lock().get(id).copied().unwrap_or(0)
    }

    /// Returns every request that has arrived and ended, in the order of their ends.
    pub fn visits(&self) -> Vec<Visit> {
        self.visits.lock().clone()
    }

    pub(crate) fn add_run(&self, id: &str) {
        *self.runs.lock().entry(id.into()).or_default() += 1;
    }

    /// Begins a visit, which ends when the result is dropped.
    pub(crate) fn arrive(&self, server: SocketAddr, peer: SocketAddr) -> Presence {
        let now = Instant::now();
        let from = self.origins.of(peer);
        let visit = Visit { server, from, arrived: now, ended: now, ran: false };
        Presence { record: self.clone(), visit }
    }
}

/// A request that is at a backend server.
#[derive(Debug)]
pub(crate) struct Presence {
    record: RunRecord,
    visit: Visit,
}

impl Presence {
    /// Notes that the backend server runs it.
    pub(crate) fn run(&mut self, id: &str) {
        self.visit.ran = true;
        self.record.add_run(id);
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.visit.ended = Instant::now();
        self.record.visits.lock().push(self.visit.clone());
    }
}
