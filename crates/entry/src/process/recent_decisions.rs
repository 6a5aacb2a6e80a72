//! The latest requests of an instance and the decisions about them, for operators.

use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of decisions kept: half a minute of a busy instance in under 1 MB.
const MAX_DECISIONS: usize = 2_048;

/// One attempt of a request at a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// Identity of the backend server.
    pub server: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Estimated number of requests there when it was chosen.
    pub load: f64,
    /// Its slots.
    pub slots: u32,
    /// Whether it was in its cold start.
    pub cold: bool,
    /// Age of the request at the end of the attempt, in milliseconds.
    pub ended_ms: u64,
    /// Outcome of the attempt.
    pub outcome: &'static str,
}

/// How one request was handled.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// Identity of the request, as its caller sent it.
    pub request_id: Arc<str>,
    /// Its route.
    pub route: Arc<str>,
    /// The service that was to run it.
    pub service: Arc<str>,
    /// The customer whose request it was, if callers need an API key.
    pub customer: Option<Arc<str>>,
    /// The arm of the policies that it was routed by, if there are any.
    pub arm: Option<Arc<str>>,
    /// The outcome as its caller saw it.
    pub outcome: &'static str,
    /// Its attempts at backend servers, in order.
    pub offers: Vec<AttemptRecord>,
    /// Version of the configuration by which it was decided.
    pub configuration_version: u64,
    /// Revision of the store up to which the state of the backend servers held.
    pub servers_as_of: u64,
    /// Time from its arrival to its response, in milliseconds.
    pub took_ms: u64,
}

/// The latest decisions, oldest first.
#[derive(Debug, Default)]
pub struct RecentDecisions {
    decisions: VecDeque<Decision>,
}

impl RecentDecisions {
    /// Adds a decision, and drops the oldest if there are too many.
    pub fn add(&mut self, decision: Decision) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// The decisions about a request, oldest first. There may be several, as a caller may reuse an
    /// identity.
    pub fn find(&self, request_id: &str) -> Vec<Decision> {
        let found = self.decisions.iter().filter(|decision| &*decision.request_id == request_id);
        found.cloned().collect()
    }
}
