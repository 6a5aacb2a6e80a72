//! Instances that want more of the platform than it has, each within its budget.

use lab::{MockPlatform, PlatformFaults};
use platform::{BudgetedPlatform, InstanceDirectory, NoopObserver, ObjectStore};
use std::sync::Arc;
use std::time::Duration;
use steering::call_budget::rate_per_s;
use tokio::task::JoinSet;

/// Pause between two calls that an instance wants to make, in milliseconds.
const WANTED_PERIOD_MS: u64 = 250;

/// Instances at one stand-in platform.
pub(crate) struct Demand {
    platform: Arc<MockPlatform>,
    clients: Vec<Arc<BudgetedPlatform>>,
    _tasks: JoinSet<()>,
}

impl Demand {
    /// Starts so many instances, each of which wants four calls a second.
    pub(crate) fn start(instances: usize) -> Self {
        let platform = Arc::new(MockPlatform::default());
        let mut tasks = JoinSet::new();
        let client = |seed| {
            let rate = rate_per_s(instances, false);
            let (store, directory) = (platform.clone(), platform.clone());
            Arc::new(BudgetedPlatform::new(store, directory, Arc::new(NoopObserver), rate, seed))
        };
        let clients: Vec<_> = (0..instances as u64).map(client).collect();
        for (number, client) in clients.iter().enumerate() {
            tasks.spawn(want(client.clone(), number as u64));
        }
        Self { platform, clients, _tasks: tasks }
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.platform.set_faults(PlatformFaults { outage, ..Default::default() });
    }

    /// Lets time pass and returns the calls that the platform saw in each second.
    pub(crate) async fn calls_over(&self, time: Duration) -> Vec<u64> {
        let mut calls = Vec::new();
        for _ in 0..time.as_secs() {
            let before = self.platform.calls();
            tokio::time::sleep(Duration::from_secs(1)).await;
            calls.push(self.platform.calls() - before);
        }
        calls
    }

    pub(crate) fn open_circuits(&self) -> usize {
        self.clients.iter().filter(|client| client.is_circuit_open()).count()
    }
}

/// The highest of the numbers of calls in each second.
pub(crate) trait WorstSecond {
    fn worst_second(&self) -> u64;
}

impl WorstSecond for [u64] {
    fn worst_second(&self) -> u64 {
        self.iter().copied().max().unwrap_or(0)
    }
}

async fn want(client: Arc<BudgetedPlatform>, number: u64) {
    // Instances do not act in step.
    tokio::time::sleep(Duration::from_millis(number * 37 % WANTED_PERIOD_MS)).await;
    loop {
        // What matters is that the call was made or refused.
        let _ = client.get("object").await;
        let _ = client.instances().await;
        tokio::time::sleep(Duration::from_millis(2 * WANTED_PERIOD_MS)).await;
    }
}
