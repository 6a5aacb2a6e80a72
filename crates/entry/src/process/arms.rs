//! What each arm did, for operators who compare policies on live traffic.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use steering::compare::LatencyHistogram;

/// A service, a route and an arm.
type FlowName = (Arc<str>, Arc<str>, Arc<str>);

#[derive(Debug, Default)]
struct Flow {
    latency: LatencyHistogram,
    refused: BTreeMap<&'static str, u64>,
}

/// What each arm did since this instance started; nothing is kept while no policies are in force.
#[derive(Debug, Default)]
pub struct ArmCounts {
    flows: BTreeMap<FlowName, Flow>,
}

/// What one arm did for one route, as operators read it.
#[derive(Debug, Serialize)]
pub struct FlowCounts {
    service: Arc<str>,
    class: Arc<str>,
    arm: Arc<str>,
    latency_bins: Vec<u64>,
    refused: BTreeMap<&'static str, u64>,
}

impl ArmCounts {
    /// Counts a request that was answered whole after this time.
    pub fn answered(&mut self, flow: FlowName, after: Duration) {
        let flow = self.flows.entry(flow).or_default();
        flow.latency.record(after.as_secs_f64() * 1_000_000.0);
    }

    /// Counts a request that got no answer of a backend server, or a cut one.
    pub fn failed(&mut self, flow: FlowName, outcome: &'static str) {
        *self.flows.entry(flow).or_default().refused.entry(outcome).or_default() += 1;
    }

    /// All counts.
    pub fn all(&self) -> Vec<FlowCounts> {
        let counts = self.flows.iter().map(|((service, class, arm), flow)| FlowCounts {
            service: service.clone(),
            class: class.clone(),
            arm: arm.clone(),
            latency_bins: flow.latency.counts().to_vec(),
            refused: flow.refused.clone(),
        });
        counts.collect()
    }
}
