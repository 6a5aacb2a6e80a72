//! Counts by arm, for operators who compare policies on live traffic.

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

/// Counts by arm since the instance started; nothing is counted while no policies are in force.
#[derive(Debug, Default)]
pub struct ArmCounts {
    flows: BTreeMap<FlowName, Flow>,
}

/// Counts of one arm for one service and route, as served to operators.
#[derive(Debug, Serialize)]
pub struct FlowCounts {
    service: Arc<str>,
    class: Arc<str>,
    arm: Arc<str>,
    latency_bins: Vec<u64>,
    refused: BTreeMap<&'static str, u64>,
}

impl ArmCounts {
    /// Counts a request whose response was complete after this time.
    pub fn record_response(&mut self, flow: FlowName, latency: Duration) {
        let flow = self.flows.entry(flow).or_default();
        flow.latency.record(latency.as_secs_f64() * 1_000_000.0);
    }

    /// Counts a request that got no response of a backend server, or an incomplete one.
    pub fn record_failure(&mut self, flow: FlowName, outcome: &'static str) {
        *self.flows.entry(flow).or_default().refused.entry(outcome).or_default() += 1;
    }

    /// Counts of all flows.
    pub fn flow_counts(&self) -> Vec<FlowCounts> {
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
