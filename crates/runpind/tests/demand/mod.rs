//! Instances whose calls exceed the capacity of the platform, each limited by its call budget.

use lab::{MockPlatform, PlatformFaults};
use platform::{BudgetedPlatform, InstanceDirectory, NoopObserver, ObjectStore};
use std::sync::Arc;
use std::time::Duration;
use steering::call_budget::rate_per_s;
use tokio::task::JoinSet;

/// Mean interval between calls that an instance attempts, in milliseconds.
const CALL_PERIOD_MS: u64 = 250;

/// Instances that call one mock platform.
pub(crate) struct Demand {
    platform: Arc<MockPlatform>,
    clients: Vec<Arc<BudgetedPlatform>>,
    _tasks: JoinSet<()>,
}

impl Demand {
    /// Starts `instances` instances, each of which attempts four calls per second.
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
            tasks.spawn(call_repeatedly(client.clone(), number as u64));
        }
        Self { platform, clients, _tasks: tasks }
    }

    pub(crate) fn set_outage(&self, outage: bool) {
        self.platform.set_faults(PlatformFaults { outage, ..Default::default() });
    }

    /// Waits for whole seconds and returns the number of calls that the platform received in each.
    pub(crate) async fn count_calls(&self, duration: Duration) -> Vec<u64> {
        let mut calls = Vec::new();
        for _ in 0..duration.as_secs() {
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

/// The highest number of calls in one second.
pub(crate) trait WorstSecond {
    fn worst_second(&self) -> u64;
}

impl WorstSecond for [u64] {
    fn worst_second(&self) -> u64 {
        self.iter().copied().max().unwrap_or(0)
    }
}

async fn call_repeatedly(client: Arc<BudgetedPlatform>, number: u64) {
    // Instances start at different times, so that their calls are not synchronized.
    tokio::time::sleep(Duration::from_millis(number * 37 % CALL_PERIOD_MS)).await;
    loop {
        // Only the number of calls matters, not their results.
        let _ = client.get("object").await;
        let _ = client.instances().await;
        tokio::time::sleep(Duration::from_millis(2 * CALL_PERIOD_MS)).await;
    }
}
