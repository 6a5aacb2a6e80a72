//! Record of the requests that the backend servers of an experiment received and ran.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// One request that arrived at a backend server.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The backend server.
    pub server: SocketAddr,
    /// Availability zone of the instance that sent it; `None` if the dialer did not record it.
    pub source_zone: Option<Arc<str>>,
    /// Time at which its head arrived.
    pub arrived: Instant,
    /// Time at which the backend server finished or rejected it, or its connection closed.
    pub ended: Instant,
    /// Whether the backend server ran it.
    pub ran: bool,
}

/// Requests that all backend servers of an experiment received, and how often each one ran.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    runs: Arc<Mutex<HashMap<Arc<str>, u32>>>,
    received_requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    source_zones: SourceZones,
}

/// Availability zones that connections come from, by the address of their client side.
#[derive(Clone, Debug, Default)]
pub struct SourceZones(Arc<Mutex<HashMap<SocketAddr, Arc<str>>>>);

impl SourceZones {
    /// Records that the connection from `address` belongs to an instance in `zone`.
    pub fn insert(&self, address: SocketAddr, zone: Arc<str>) {
        self.0.lock().insert(address, zone);
    }

    fn zone_of(&self, address: SocketAddr) -> Option<Arc<str>> {
        self.0.lock().get(&address).cloned()
    }
}

impl RunRecord {
    /// Creates a record that reads the zone of each sender from `source_zones`.
    pub fn with_source_zones(source_zones: SourceZones) -> Self {
        Self { source_zones, ..Self::default() }
    }

    /// Returns how many times the request with this id ran.
    pub fn times_run(&self, id: &str) -> u32 {
        self.runs.lock().get(id).copied().unwrap_or(0)
    }

    /// Returns the received requests that have ended, in the order in which they ended.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.received_requests.lock().clone()
    }

    pub(crate) fn add_run(&self, id: &str) {
        *self.runs.lock().entry(id.into()).or_default() += 1;
    }

    /// Records the arrival of a request, which ends when the result is dropped.
    pub(crate) fn begin_request(&self, server: SocketAddr, client: SocketAddr) -> ActiveRequest {
        let now = Instant::now();
        let source_zone = self.source_zones.zone_of(client);
        let request = ReceivedRequest { server, source_zone, arrived: now, ended: now, ran: false };
        ActiveRequest { record: self.clone(), request }
    }
}

/// A request that is at a backend server.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    record: RunRecord,
    request: ReceivedRequest,
}

impl ActiveRequest {
    /// Records that the backend server runs it.
    pub(crate) fn record_run(&mut self, id: &str) {
        self.request.ran = true;
        self.record.add_run(id);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.request.ended = Instant::now();
        self.record.received_requests.lock().push(self.request.clone());
    }
}
