//! Measurements of each arm at this instance, with enough resolution to compare arms.
//!
//! The Prometheus histograms have few buckets, as each bucket is a time series; these have 160 bins
//! and are read only by `runpin policy compare`.

use configuration::Class;
use parking_lot::{Mutex, RwLock};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use steering::compare::{BINS, LatencyHistogram};

/// Maximum number of flows (service, class and arm); further ones are not measured.
const MAX_FLOWS: usize = 4_096;

/// Identifies the flow of requests of one service, class and arm.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct FlowName {
    /// The service.
    pub service: Arc<str>,
    /// The class.
    pub class: Class,
    /// The arm.
    pub arm: Arc<str>,
}

/// Measurements of all flows since the daemon started.
#[derive(Debug, Default)]
pub struct ArmMeasurements {
    flows: RwLock<HashMap<FlowName, Arc<Flow>>>,
}

#[derive(Debug)]
struct Flow {
    latency: Box<[AtomicU64]>,
    refused: Mutex<BTreeMap<&'static str, u64>>,
}

/// Measurements of one flow since the daemon started.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowStatus {
    /// The service.
    pub service: Arc<str>,
    /// The class.
    pub class: &'static str,
    /// The arm.
    pub arm: Arc<str>,
    /// Number of complete responses by latency, in the bins of [`LatencyHistogram`].
    pub latency_bins: Vec<u64>,
    /// Refusals by kind of problem.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Default for Flow {
    fn default() -> Self {
        Self { latency: (0..BINS).map(|_| AtomicU64::new(0)).collect(), refused: Mutex::default() }
    }
}

impl ArmMeasurements {
    /// Records the latency of a request, from its head to the end of the response.
    pub fn record_response(&self, name: &FlowName, time: Duration) {
        let bin = LatencyHistogram::bin(time.as_secs_f64() * 1e6);
        if let Some(flow) = self.get_or_insert_flow(name) {
            flow.latency[bin].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records a refusal.
    pub fn record_refusal(&self, name: &FlowName, kind: &'static str) {
        if let Some(flow) = self.get_or_insert_flow(name) {
            *flow.refused.lock().entry(kind).or_default() += 1;
        }
    }

    /// Returns the measurements of all flows, sorted by service, class and arm.
    pub fn status(&self) -> Vec<FlowStatus> {
        let flows = self.flows.read();
        let mut all: Vec<FlowStatus> = flows
            .iter()
            .map(|(name, flow)| FlowStatus {
                service: name.service.clone(),
                class: name.class.as_str(),
                arm: name.arm.clone(),
                latency_bins: flow.latency.iter().map(|bin| bin.load(Ordering::Relaxed)).collect(),
                refused: flow.refused.lock().clone(),
            })
            .collect();
        all.sort_by(|a, b| (&a.service, a.class, &a.arm).cmp(&(&b.service, b.class, &b.arm)));
        all
    }

    fn get_or_insert_flow(&self, name: &FlowName) -> Option<Arc<Flow>> {
        if let Some(flow) = self.flows.read().get(name) {
            return Some(flow.clone());
        }
        let mut flows = self.flows.write();
        if flows.len() >= MAX_FLOWS && !flows.contains_key(name) {
            return None;
        }
        Some(flows.entry(name.clone()).or_default().clone())
    }
}
