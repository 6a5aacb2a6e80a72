//! Requests whose connections closed, by the backend server that is being looked at.

use std::collections::HashMap;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;

/// Requests whose connections closed, by the backend server that is being looked at.
#[derive(Debug, Default)]
pub struct Looks {
    by_server: HashMap<Incarnation, Vec<Fingerprints>>,
}

impl Looks {
    /// Adds a request; returns whether it is the first one, so that a look has to begin.
    pub fn add(&mut self, server: &Incarnation, request: Fingerprints) -> bool {
        let requests = self.by_server.entry(server.clone()).or_default();
        requests.push(request);
        requests.len() == 1
    }

    /// Ends a look: takes the requests that the backend server had.
    pub fn end(&mut self, server: &Incarnation) -> Vec<Fingerprints> {
        self.by_server.remove(server).unwrap_or_default()
    }
}
