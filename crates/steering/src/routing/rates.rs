//! Request rates of flows, from the counts of their choices.

use super::arms::ArmEntry;
use super::counters::FlowCounts;
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;

/// Time constant of the rates' moving average, in seconds.
const RATE_AVERAGE_S: f64 = 3.0;

/// Minimum time over which a rate is measured, in seconds.
const MIN_ELAPSED_S: f64 = 0.05;

/// Rates of services and arms by name, as these outlive configuration versions.
#[derive(Debug, Default)]
pub(super) struct Rates {
    version: u64,
    measured_at: Option<Time>,
    services: HashMap<Arc<str>, f64>,
    flows: HashMap<FlowName, f64>,
    last_counts: HashMap<FlowName, FlowCounts>,
}

/// A service and an arm with its share: an arm whose share changes is a different flow.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct FlowName {
    service: Arc<str>,
    arm: Arc<str>,
    share_percent: u32,
}

impl FlowName {
    pub(super) fn new(service: &Arc<str>, arm: &ArmEntry) -> Self {
        let share_percent = arm.share_percent;
        Self { service: service.clone(), arm: arm.name.clone(), share_percent }
    }
}

impl Rates {
    /// Processes the counters of one version's flows and returns what was counted since the last
    /// call.
    pub(super) fn measure(
        &mut self,
        version: u64,
        counts: Vec<(FlowName, FlowCounts)>,
        now: Time,
    ) -> Vec<FlowCounts> {
        if self.version != version {
            self.version = version;
            self.last_counts.clear();
        }
        let new_counts: Vec<FlowCounts> = counts
            .iter()
            .map(|(name, counts)| difference(counts, self.last_counts.get(name)))
            .collect();
        let elapsed_s = self.measured_at.map_or(0.0, |last| now.since(last).as_secs_f64());
        if self.measured_at.is_some() && elapsed_s < MIN_ELAPSED_S {
            return vec![FlowCounts::default(); counts.len()];
        }
        self.measured_at = Some(now);
        self.update_averages(&counts, &new_counts, elapsed_s);
        self.last_counts = counts.into_iter().collect();
        new_counts
    }

    /// Returns the rate of a flow in requests per second; before its first measurement, its share
    /// of the rate of its service.
    pub(super) fn rate_of(&self, flow: &FlowName) -> f64 {
        let share = f64::from(flow.share_percent) / 100.0;
        let expected = || self.services.get(&flow.service).map_or(0.0, |rate| rate * share);
        if flow.share_percent == 0 {
            return 0.0;
        }
        self.flows.get(flow).copied().unwrap_or_else(expected)
    }

    fn update_averages(
        &mut self,
        counts: &[(FlowName, FlowCounts)],
        new_counts: &[FlowCounts],
        elapsed_s: f64,
    ) {
        if elapsed_s == 0.0 {
            return;
        }
        let gain = 1.0 - (-elapsed_s / RATE_AVERAGE_S).exp();
        let mut services: HashMap<Arc<str>, f64> = HashMap::new();
        let mut flows = HashMap::new();
        for ((name, _), new_counts) in counts.iter().zip(new_counts) {
            let measured = new_counts.total() as f64 / elapsed_s;
            let previous = self.rate_of(name);
            flows.insert(name.clone(), previous + (measured - previous) * gain);
            if name.share_percent > 0 {
                *services.entry(name.service.clone()).or_default() += measured;
            }
        }
        self.services = services
            .into_iter()
            .map(|(name, measured)| {
                let previous = self.services.get(&name).copied().unwrap_or(0.0);
                (name, previous + (measured - previous) * gain)
            })
            .collect();
        self.flows = flows;
    }
}

fn difference(counts: &FlowCounts, last: Option<&FlowCounts>) -> FlowCounts {
    let Some(last) = last else { return counts.clone() };
    FlowCounts {
        chosen: counts
            .chosen
            .iter()
            .zip(&last.chosen)
            .map(|(now, last)| now.saturating_sub(*last))
            .collect(),
        unplaced: counts.unplaced.saturating_sub(last.unplaced),
    }
}
