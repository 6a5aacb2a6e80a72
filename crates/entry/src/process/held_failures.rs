//! Failures of requests that may say nothing about their backend servers.
//!
//! A connection breaks because of the server, or of the path to all servers.  The next response shows
//! that it was the server, for a new connection the next first response; until then the failure must
//! not count against the server's version.

use std::sync::Arc;
use steering::rollout::{Observation, OrderId};

/// Failures that are held at most; more say nothing that these don't.
const MAX_HELD: usize = 256;

/// A failure of a request under a roll-out.
#[derive(Debug)]
pub(crate) struct HeldFailure {
    pub(crate) order: OrderId,
    pub(crate) is_target: bool,
    pub(crate) route: Arc<str>,
    pub(crate) observation: Observation,
    /// Whether it was the first exchange over its connection.
    pub(crate) is_connection_new: bool,
}

/// Failures that no response has explained yet.
#[derive(Debug, Default)]
pub(crate) struct HeldFailures(Vec<HeldFailure>);

impl HeldFailures {
    /// Returns whether no further failure can be held.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_HELD
    }

    /// Holds a failure.
    pub(crate) fn hold(&mut self, failure: HeldFailure) {
        self.0.push(failure);
    }

    /// Takes the failures that `is_explained` selects.
    pub(crate) fn take(&mut self, is_explained: impl Fn(&HeldFailure) -> bool) -> Vec<HeldFailure> {
        self.0.extract_if(.., |failure| is_explained(failure)).collect()
    }
}
