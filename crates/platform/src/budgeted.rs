//! The platform within a budget: the one way in which a daemon calls it.
//!
//! [`steering::call_budget`] decides whether a call may be made; [`BudgetedPlatform`] waits, calls
//! and takes note of how calls end.

use crate::{
    Expected, InstanceDirectory, InstanceEntry, InstanceList, Object, ObjectStore, StoreError,
    UnavailableCause, Version, WatchBatch,
};
use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::Time;
use steering::call_budget::{CallBudget, CallEnd, Permit, Refusal};
use tokio::time::Instant;

/// Longest wait of a watch that probes a platform that was out of reach.
const PROBE_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// Reads one object.
    Get,
    /// Reads several objects.
    List,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Waits for changes.
    Watch,
    /// Reads the list of instances.
    Instances,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallOutcome {
    /// The platform answered, be it with a conflict.
    Answered,
    /// It was out of reach, or its answer was lost.
    Failed,
    /// It was not called, as the rate is used up.
    OverRate,
    /// It was not called, as it was out of reach a moment ago.
    CircuitOpen,
}

/// Takes note of calls, for metrics.
pub trait CallObserver: Send + Sync + 'static {
    /// A call ended, or was refused.
    fn called(&self, kind: CallKind, outcome: CallOutcome);

    /// The circuit opened or closed.
    fn circuit(&self, is_open: bool);
}

/// An observer that takes no note.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unobserved;

impl CallObserver for Unobserved {
    fn called(&self, _kind: CallKind, _outcome: CallOutcome) {}

    fn circuit(&self, _is_open: bool) {}
}

/// Calls the platform within the budget of one instance.
pub struct BudgetedPlatform {
    store: Arc<dyn ObjectStore>,
    directory: Arc<dyn InstanceDirectory>,
    observer: Arc<dyn CallObserver>,
    epoch: Instant,
    state: Mutex<State>,
}

struct State {
    budget: CallBudget,
    random: SmallRng,
}

impl BudgetedPlatform {
    /// Makes the budget of an instance that may call `rate_per_s` times a second.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        directory: Arc<dyn InstanceDirectory>,
        observer: Arc<dyn CallObserver>,
        rate_per_s: f64,
        seed: u64,
    ) -> Self {
        let epoch = Instant::now();
        let budget = CallBudget::new(Time::default(), rate_per_s);
        let state = Mutex::new(State { budget, random: SmallRng::seed_from_u64(seed) });
        Self { store, directory, observer, epoch, state }
    }

    /// Changes how often the instance may call.
    pub fn set_rate(&self, rate_per_s: f64) {
        self.state.lock().budget.set_rate(self.now(), rate_per_s);
    }

    /// Tells whether calls are refused because the platform was out of reach a moment ago.
    pub fn is_open(&self) -> bool {
        self.state.lock().budget.is_circuit_open()
    }

    fn now(&self) -> Time {
        Time::default() + self.epoch.elapsed()
    }

    /// Makes a call if the budget allows it; `call` is told whether it probes.
    async fn call<T, F>(
        &self,
        kind: CallKind,
        call: impl FnOnce(bool) -> F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let permit = self.state.lock().budget.acquire(self.now());
        let permit = permit.map_err(|refusal| self.refused(kind, refusal))?;
        let mut pending = Pending { platform: self, permit, end: CallEnd::Abandoned };
        tokio::time::sleep(permit.wait).await;
        let result = call(permit.is_probe).await;
        let answered = is_answer(&result);
        pending.end = if answered { CallEnd::Answered } else { CallEnd::Failed };
        drop(pending);
        let outcome = if answered { CallOutcome::Answered } else { CallOutcome::Failed };
        self.observer.called(kind, outcome);
        result
    }

    fn refused(&self, kind: CallKind, refusal: Refusal) -> StoreError {
        let (outcome, cause) = match refusal {
            Refusal::RateLimited => (CallOutcome::OverRate, UnavailableCause::Budget),
            Refusal::CircuitOpen => (CallOutcome::CircuitOpen, UnavailableCause::CircuitOpen),
        };
        self.observer.called(kind, outcome);
        StoreError::Unavailable(cause)
    }
}

/// A call under way; dropped, it gives its permit back.
struct Pending<'a> {
    platform: &'a BudgetedPlatform,
    permit: Permit,
    end: CallEnd,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let now = self.platform.now();
        let mut state = self.platform.state.lock();
        let State { budget, random } = &mut *state;
        let was_open = budget.is_circuit_open();
        budget.release(now, self.permit, self.end, random);
        let is_open = budget.is_circuit_open();
        if was_open != is_open {
            self.platform.observer.circuit(is_open);
        }
    }
}

/// Tells whether the platform worked, whatever it answered.
fn is_answer<T>(result: &Result<T, StoreError>) -> bool {
    match result {
        Ok(_) | Err(StoreError::Conflict { .. } | StoreError::TooLarge { .. }) => true,
        Err(StoreError::Unavailable(_) | StoreError::Unsure | StoreError::Protocol { .. }) => false,
    }
}

#[async_trait]
impl ObjectStore for BudgetedPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.call(CallKind::Get, |_| self.store.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.call(CallKind::List, |_| self.store.list(prefix)).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.call(CallKind::Put, |_| self.store.put(key, value, expected)).await
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.call(CallKind::Delete, |_| self.store.delete(key, expected)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        // A probe that waits long would keep every other call waiting for its outcome.
        let wait_of = |is_probe| if is_probe { wait.min(PROBE_WATCH_WAIT) } else { wait };
        self.call(CallKind::Watch, |is_probe| self.store.watch(prefix, after, wait_of(is_probe)))
            .await
    }
}

#[async_trait]
impl InstanceDirectory for BudgetedPlatform {
    async fn instances(&self) -> Result<InstanceList, StoreError> {
        self.call(CallKind::Instances, |_| self.directory.instances()).await
    }

    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.call(CallKind::Instances, |_| self.directory.entry_instances()).await
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.call(CallKind::Instances, |_| self.directory.leaving_backend_servers()).await
    }
}
