//! The routing table: weights of each service and arm.

use super::choice::Weights;
use super::counters::FlowCounters;
use configuration::ServiceIndex;
use std::sync::Arc;

/// Weights of all services and arms, built outside the request path and replaced atomically.
#[derive(Debug, Default)]
pub struct Table {
    /// Flows by service, then by arm.
    pub(super) flows: Vec<Vec<Flow>>,
}

/// The routing of one service's requests in one arm.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Weights of the sites.
    pub weights: Weights,
    /// Counts the choices of requests.
    pub counters: Arc<FlowCounters>,
}

impl Table {
    /// Returns the routing of a service's requests in an arm.
    pub fn flow(&self, service: ServiceIndex, arm: usize) -> Option<&Flow> {
        self.flows.get(service.get())?.get(arm)
    }
}
