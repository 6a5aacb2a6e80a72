//! Probes under way of backend servers that closed connections during requests.

use std::collections::HashMap;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;
use tokio::sync::watch;

/// A probe of a backend server that closed connections during requests.
#[derive(Debug, Default)]
pub struct Probe {
    /// The requests whose connections were closed.
    pub requests: Vec<Fingerprints>,
    /// Dropped when the probe is complete.
    completed: watch::Sender<()>,
}

/// The probes under way, by backend server.
#[derive(Debug, Default)]
pub struct Probes {
    by_server: HashMap<Incarnation, Probe>,
}

impl Probes {
    /// Adds a request to a server's probe; returns whether it is the first one, so that the probe has to
    /// be started, and a receiver that closes when the probe is complete.
    pub fn add(
        &mut self,
        server: &Incarnation,
        request: Fingerprints,
    ) -> (bool, watch::Receiver<()>) {
        let probe = self.by_server.entry(server.clone()).or_default();
        probe.requests.push(request);
        (probe.requests.len() == 1, probe.completed.subscribe())
    }

    /// Removes and returns a probe that has an outcome.
    pub fn take(&mut self, server: &Incarnation) -> Probe {
        self.by_server.remove(server).unwrap_or_default()
    }
}
