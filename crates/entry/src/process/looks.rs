//! Requests whose connections closed, by the backend server that is being looked at.

use std::collections::HashMap;
use steering::placement::Incarnation;
use steering::suspects::Fingerprints;
use tokio::sync::watch;

/// A look at a backend server that closed connections under requests.
#[derive(Debug, Default)]
pub struct Look {
    /// The requests that it had.
    pub requests: Vec<Fingerprints>,
    /// Dropped when the look is over.
    over: watch::Sender<()>,
}

/// The looks that are under way.
#[derive(Debug, Default)]
pub struct Looks {
    by_server: HashMap<Incarnation, Look>,
}

impl Looks {
    /// Adds a request; returns whether it is the first one, so that a look has to begin, and what ends
    /// with the look.
    pub fn add(
        &mut self,
        server: &Incarnation,
        request: Fingerprints,
    ) -> (bool, watch::Receiver<()>) {
        let look = self.by_server.entry(server.clone()).or_default();
        look.requests.push(request);
        (look.requests.len() == 1, look.over.subscribe())
    }

    /// Takes a look that has an outcome.
    pub fn take(&mut self, server: &Incarnation) -> Look {
        self.by_server.remove(server).unwrap_or_default()
    }
}
