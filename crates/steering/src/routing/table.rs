//! The table that requests read: weights of each service and arm.

use super::choice::Weights;
use super::counters::FlowCounters;
use configuration::ServiceIndex;
use std::sync::Arc;

/// Weights of all services and arms, built off the request path and swapped whole.
#[derive(Debug, Default)]
pub struct Table {
    /// By service, then by arm.
    pub(super) flows: Vec<Vec<Flow>>,
}

/// Where one arm sends the requests of one service.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Weights of the sites.
    pub weights: Weights,
    /// Counts what requests choose.
    pub counters: Arc<FlowCounters>,
}

impl Table {
    /// Returns where an arm sends the requests of a service.
    pub fn flow(&self, service: ServiceIndex, arm: usize) -> Option<&Flow> {
        self.flows.get(service.get())?.get(arm)
    }
}
