//! How many requests each flow has, from the counts of its choices.

use super::arms::ArmEntry;
use super::counters::FlowCounts;
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;

/// Time in which a rate follows the counts.
const RATE_S: f64 = 3.0;

/// Shortest time that a rate is measured over, in seconds.
const LEAST_ELAPSED_S: f64 = 0.05;

/// Rates of services and arms by name, as they outlive configuration versions.
#[derive(Debug, Default)]
pub(super) struct Rates {
    version: u64,
    measured_at: Option<Time>,
    services: HashMap<Arc<str>, f64>,
    flows: HashMap<FlowName, f64>,
    seen: HashMap<FlowName, FlowCounts>,
}

/// A service and an arm with its share: an arm whose share changes is another flow.
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
    /// Takes the counts of one version's flows and returns what was counted since the last time.
    pub(super) fn measure(
        &mut self,
        version: u64,
        counts: Vec<(FlowName, FlowCounts)>,
        now: Time,
    ) -> Vec<FlowCounts> {
        if self.version != version {
            self.version = version;
            self.seen.clear();
        }
        let since: Vec<FlowCounts> =
            counts.iter().map(|(name, counts)| difference(counts, self.seen.get(name))).collect();
        let elapsed_s = self.measured_at.map_or(0.0, |last| now.since(last).as_secs_f64());
        if self.measured_at.is_some() && elapsed_s < LEAST_ELAPSED_S {
            return vec![FlowCounts::default(); counts.len()];
        }
        self.measured_at = Some(now);
        self.follow(&counts, &since, elapsed_s);
        self.seen = counts.into_iter().collect();
        since
    }

    /// Returns the requests of a flow per second; for one not measured yet, its share of those of
    /// its service.
    pub(super) fn of(&self, flow: &FlowName) -> f64 {
        let part = f64::from(flow.share_percent) / 100.0;
        let expected = || self.services.get(&flow.service).map_or(0.0, |rate| rate * part);
        if flow.share_percent == 0 {
            return 0.0;
        }
        self.flows.get(flow).copied().unwrap_or_else(expected)
    }

    fn follow(&mut self, counts: &[(FlowName, FlowCounts)], since: &[FlowCounts], elapsed_s: f64) {
        if elapsed_s == 0.0 {
            return;
        }
        let gain = 1.0 - (-elapsed_s / RATE_S).exp();
        let mut services: HashMap<Arc<str>, f64> = HashMap::new();
        let mut flows = HashMap::new();
        for ((name, _), since) in counts.iter().zip(since) {
            let measured = since.total() as f64 / elapsed_s;
            let known = self.of(name);
            flows.insert(name.clone(), known + (measured - known) * gain);
            if name.share_percent > 0 {
                *services.entry(name.service.clone()).or_default() += measured;
            }
        }
        self.services = services
            .into_iter()
            .map(|(name, measured)| {
                let known = self.services.get(&name).copied().unwrap_or(0.0);
                (name, known + (measured - known) * gain)
            })
            .collect();
        self.flows = flows;
    }
}

fn difference(counts: &FlowCounts, seen: Option<&FlowCounts>) -> FlowCounts {
    let Some(seen) = seen else { return counts.clone() };
    FlowCounts {
        chosen: counts
            .chosen
            .iter()
            .zip(&seen.chosen)
            .map(|(now, seen)| now.saturating_sub(*seen))
            .collect(),
        unplaced: counts.unplaced.saturating_sub(seen.unplaced),
    }
}
