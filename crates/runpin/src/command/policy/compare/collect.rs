//! Collects measurements of arms from instances, by period.
//!
//! Counts are read from each instance at the start and the end of each period.  An instance that did
//! not respond to both reads, or was restarted between them, is excluded from that period for both
//! arms.

use crate::client::Client;
use crate::error::CommandError;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use steering::compare::{LatencyHistogram, Period};
use tokio::time::MissedTickBehavior;

/// Path of the counts of arms.
const ARMS_PATH: &str = "/v1/arms";

/// Counts of each arm at one instance, since the start of the instance.
#[derive(Clone, Debug, Deserialize)]
struct InstanceCounts {
    /// Identifies the start of the instance.
    incarnation: String,
    flows: Vec<FlowCounts>,
}

/// Counts of one service, class and arm.
#[derive(Clone, Debug, Deserialize)]
struct FlowCounts {
    service: String,
    class: String,
    arm: String,
    /// Number of requests with a complete response, by bin of the latency histogram.
    latency_bins: Vec<u64>,
    /// Number of requests that were refused or have an unknown outcome, by kind.
    refused: BTreeMap<String, u64>,
}

/// Service, class and arm.
type FlowKey = (String, String, String);

/// Counts of all instances that responded, at one point in time.
type Snapshot = BTreeMap<SocketAddr, InstanceCounts>;

/// Measurements of one arm over all periods.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmMeasurement {
    pub(super) periods: Vec<Period>,
    pub(super) refused: BTreeMap<String, u64>,
}

/// Measurements of both arms for one service and class.
pub(super) struct Group {
    pub(super) service: String,
    pub(super) class: String,
    pub(super) base: ArmMeasurement,
    pub(super) trial: ArmMeasurement,
}

/// Measurements of all arms.
#[derive(Debug, Default)]
pub(super) struct Measurement {
    flows: BTreeMap<FlowKey, ArmMeasurement>,
    /// Number of instances that counts were requested from.
    requested: usize,
    /// Instances with counts for at least one period.
    answered: BTreeSet<SocketAddr>,
    periods: usize,
}

/// Reads the counts of all instances at the start, and at the end of each period.
pub(super) async fn measure(
    client: &Client,
    periods: u32,
    period: Duration,
) -> Result<Measurement, CommandError> {
    let mut measurement =
        Measurement { requested: client.instances().len(), ..Measurement::default() };
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    let mut before = snapshot(client).await?;
    for _ in 0..periods {
        ticks.tick().await;
        let after = snapshot(client).await?;
        measurement.add_period(&before, &after);
        before = after;
    }
    Ok(measurement)
}

/// Reads the counts of every instance.
///
/// # Errors
///
/// Fails if no instance can be reached, or one responds with an error.
async fn snapshot(client: &Client) -> Result<Snapshot, CommandError> {
    let reads = client.instances().iter().map(|instance| async {
        (*instance, client.read_one::<InstanceCounts>(*instance, ARMS_PATH).await)
    });
    let mut snapshot = Snapshot::new();
    let mut unreachable = Vec::new();
    for (instance, result) in futures::future::join_all(reads).await {
        match result {
            Ok(counts) => {
                snapshot.insert(instance, counts);
            }
            Err(CommandError::Unreachable(cause)) => unreachable.extend(cause),
            Err(error) => return Err(error),
        }
    }
    match snapshot.is_empty() {
        true => Err(CommandError::Unreachable(unreachable)),
        false => Ok(snapshot),
    }
}

impl Measurement {
    /// Adds the differences between two snapshots as a period.
    fn add_period(&mut self, before: &Snapshot, after: &Snapshot) {
        let both = after.iter().filter_map(|(instance, after)| {
            let before = before.get(instance)?;
            (before.incarnation == after.incarnation).then_some((*instance, before, after))
        });
        let find_flow = |flow: &FlowCounts, before: &InstanceCounts| {
            before.flows.iter().find(|other| other.key() == flow.key()).cloned()
        };
        for (instance, before, after) in both {
            self.answered.insert(instance);
            for flow in &after.flows {
                let before = find_flow(flow, before);
                self.add_flow(flow, before.as_ref());
            }
        }
        self.periods += 1;
        for flow in self.flows.values_mut() {
            flow.periods.resize(self.periods, Period::default());
        }
    }

    /// Adds the difference between two counts to the current period; `before` is `None` for a flow
    /// that the earlier snapshot does not have.
    fn add_flow(&mut self, after: &FlowCounts, before: Option<&FlowCounts>) {
        let flow = self.flows.entry(after.key()).or_default();
        flow.periods.resize(self.periods + 1, Period::default());
        let Some(period) = flow.periods.last_mut() else { return };
        let latency = LatencyHistogram::from_counts(&after.latency_bins);
        let earlier = before.map(|before| LatencyHistogram::from_counts(&before.latency_bins));
        period.latency.add(&latency.since(&earlier.unwrap_or_default()));
        for (kind, count) in &after.refused {
            let earlier = before.and_then(|before| before.refused.get(kind)).copied();
            let new = count.saturating_sub(earlier.unwrap_or_default());
            period.refused += new;
            *flow.refused.entry(kind.clone()).or_default() += new;
        }
    }

    /// Returns the measurements for the services and classes where both arms had requests.
    pub(super) fn groups(&self, base: &str, trial: &str) -> Vec<Group> {
        let base_flows =
            self.flows.iter().filter(|((_, _, arm), flow)| arm == base && flow.is_used());
        base_flows
            .filter_map(|((service, class, _), base)| {
                let key = (service.clone(), class.clone(), trial.to_owned());
                let trial = self.flows.get(&key).filter(|flow| flow.is_used())?;
                Some(Group {
                    service: service.clone(),
                    class: class.clone(),
                    base: base.clone(),
                    trial: trial.clone(),
                })
            })
            .collect()
    }

    /// Returns the names of the arms that had requests.
    pub(super) fn arms(&self) -> impl Iterator<Item = &str> {
        let used = self.flows.iter().filter(|(_, flow)| flow.is_used());
        used.map(|((_, _, arm), _)| arm.as_str()).collect::<BTreeSet<_>>().into_iter()
    }

    /// Returns the number of instances whose counts are included.
    pub(super) fn instances(&self) -> usize {
        self.answered.len()
    }

    /// Returns the number of instances whose counts are not included in any period.
    pub(super) fn silent_instances(&self) -> usize {
        self.requested.saturating_sub(self.answered.len())
    }

    /// Returns the number of periods.
    pub(super) fn periods(&self) -> usize {
        self.periods
    }
}

impl ArmMeasurement {
    /// Returns the number of requests with a complete response.
    pub(super) fn answered(&self) -> u64 {
        self.periods.iter().map(|period| period.latency.total()).sum()
    }

    /// Returns whether the arm had any requests.
    fn is_used(&self) -> bool {
        self.answered() > 0 || self.refused.values().any(|count| *count > 0)
    }
}

impl FlowCounts {
    fn key(&self) -> FlowKey {
        (self.service.clone(), self.class.clone(), self.arm.clone())
    }
}
