//! What the instances measured, period by period.
//!
//! Each instance is asked for its counts at the start and the end of each period.  An instance that
//! did not answer both, or was restarted between them, is left out of that period, for both arms.

use crate::client::Client;
use crate::error::CommandError;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use steering::compare::{LatencyHistogram, Period};
use tokio::time::MissedTickBehavior;

const ARMS_PATH: &str = "/v1/arms";

/// What each arm did at one instance, since this life of it began.
#[derive(Clone, Debug, Deserialize)]
struct Counts {
    incarnation: String,
    flows: Vec<FlowCounts>,
}

#[derive(Clone, Debug, Deserialize)]
struct FlowCounts {
    service: String,
    class: String,
    arm: String,
    latency_bins: Vec<u64>,
    refused: BTreeMap<String, u64>,
}

/// A service, class and arm.
type FlowName = (String, String, String);

/// Counts of all instances that answered, at one moment.
type Snapshot = BTreeMap<SocketAddr, Counts>;

/// What one arm did in the whole time.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmWindow {
    pub(super) periods: Vec<Period>,
    pub(super) refused: BTreeMap<String, u64>,
}

/// One service and class that both arms served.
pub(super) struct Group {
    pub(super) service: String,
    pub(super) class: String,
    pub(super) base: ArmWindow,
    pub(super) trial: ArmWindow,
}

/// What was measured.
#[derive(Debug, Default)]
pub(super) struct Window {
    flows: BTreeMap<FlowName, ArmWindow>,
    asked: usize,
    answered: BTreeSet<SocketAddr>,
    periods: usize,
}

/// Asks all instances again and again.
pub(super) async fn measure(
    client: &Client,
    periods: u32,
    period: Duration,
) -> Result<Window, CommandError> {
    let mut window = Window { asked: client.instances().len(), ..Window::default() };
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    let mut before = snapshot(client).await?;
    for _ in 0..periods {
        ticks.tick().await;
        let after = snapshot(client).await?;
        window.add_period(&before, &after);
        before = after;
    }
    Ok(window)
}

/// Asks every instance; fails where none can be asked, or one refuses.
async fn snapshot(client: &Client) -> Result<Snapshot, CommandError> {
    let asked = client.instances().iter().map(|instance| async {
        (*instance, client.read_one::<Counts>(*instance, ARMS_PATH).await)
    });
    let mut snapshot = Snapshot::new();
    let mut unreachable = Vec::new();
    for (instance, answer) in futures::future::join_all(asked).await {
        match answer {
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

impl Window {
    fn add_period(&mut self, before: &Snapshot, after: &Snapshot) {
        let both = after.iter().filter_map(|(instance, after)| {
            let before = before.get(instance)?;
            (before.incarnation == after.incarnation).then_some((*instance, before, after))
        });
        let known = |flow: &FlowCounts, before: &Counts| {
            before.flows.iter().find(|other| other.name() == flow.name()).cloned()
        };
        for (instance, before, after) in both {
            self.answered.insert(instance);
            for flow in &after.flows {
                let before = known(flow, before);
                self.add_flow(flow, before.as_ref());
            }
        }
        self.periods += 1;
        for flow in self.flows.values_mut() {
            flow.periods.resize(self.periods, Period::default());
        }
    }

    fn add_flow(&mut self, after: &FlowCounts, before: Option<&FlowCounts>) {
        let flow = self.flows.entry(after.name()).or_default();
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

    /// Returns the services and classes that both arms served.
    pub(super) fn groups(&self, base: &str, trial: &str) -> Vec<Group> {
        let of_base = self.flows.iter().filter(|((_, _, arm), flow)| arm == base && flow.is_used());
        of_base
            .filter_map(|((service, class, _), base)| {
                let name = (service.clone(), class.clone(), trial.to_owned());
                let trial = self.flows.get(&name).filter(|flow| flow.is_used())?;
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

    /// Returns the number of instances whose counts are in it.
    pub(super) fn instances(&self) -> usize {
        self.answered.len()
    }

    /// Returns the number of instances that were asked and never counted.
    pub(super) fn silent_instances(&self) -> usize {
        self.asked.saturating_sub(self.answered.len())
    }

    /// Returns the number of periods.
    pub(super) fn periods(&self) -> usize {
        self.periods
    }
}

impl ArmWindow {
    /// Returns the number of requests that were answered whole.
    pub(super) fn answered(&self) -> u64 {
        self.periods.iter().map(|period| period.latency.total()).sum()
    }

    fn is_used(&self) -> bool {
        self.answered() > 0 || self.refused.values().any(|count| *count > 0)
    }
}

impl FlowCounts {
    fn name(&self) -> FlowName {
        (self.service.clone(), self.class.clone(), self.arm.clone())
    }
}
