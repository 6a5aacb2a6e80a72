//! Client of the platform with a call budget; a daemon calls the platform only through it.
//!
//! [`steering::call_budget`] decides whether a call may be made; [`BudgetedPlatform`] waits, calls
//! and records how calls end.

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

/// Maximum wait of a watch that serves as the probe of an open circuit.
const PROBE_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Kind of call to the platform.
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

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallOutcome {
    /// The platform responded, possibly with a conflict or a size limit.
    Answered,
    /// The platform was unavailable, its response was lost or did not conform to the protocol.
    Failed,
    /// The call was not made, as the rate limit was reached.
    OverRate,
    /// The call was not made, as the circuit was open.
    CircuitOpen,
}

/// Receives the outcomes of calls, for metrics.
pub trait CallObserver: Send + Sync + 'static {
    /// Records a call that ended or was refused.
    fn record_call(&self, kind: CallKind, outcome: CallOutcome);

    /// Records that the circuit opened or closed.
    fn record_circuit_change(&self, is_open: bool);
}

/// An observer that ignores all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl CallObserver for NoopObserver {
    fn record_call(&self, _kind: CallKind, _outcome: CallOutcome) {}

    fn record_circuit_change(&self, _is_open: bool) {}
}

/// Calls the platform within the call budget of one instance.
pub struct BudgetedPlatform {
    store: Arc<dyn ObjectStore>,
    directory: Arc<dyn InstanceDirectory>,
    observer: Arc<dyn CallObserver>,
    started_at: Instant,
    state: Mutex<State>,
}

struct State {
    budget: CallBudget,
    random: SmallRng,
}

impl BudgetedPlatform {
    /// Creates a client with a rate limit of `rate_per_s` calls per second; `seed` seeds the jitter
    /// of the circuit breaker.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        directory: Arc<dyn InstanceDirectory>,
        observer: Arc<dyn CallObserver>,
        rate_per_s: f64,
        seed: u64,
    ) -> Self {
        let started_at = Instant::now();
        let budget = CallBudget::new(Time::default(), rate_per_s);
        let state = Mutex::new(State { budget, random: SmallRng::seed_from_u64(seed) });
        Self { store, directory, observer, started_at, state }
    }

    /// Sets the rate limit, in calls per second.
    pub fn set_rate(&self, rate_per_s: f64) {
        self.state.lock().budget.set_rate(self.now(), rate_per_s);
    }

    /// Returns whether the circuit is open, so that calls are refused after recent failures.
    pub fn is_circuit_open(&self) -> bool {
        self.state.lock().budget.is_circuit_open()
    }

    fn now(&self) -> Time {
        Time::default() + self.started_at.elapsed()
    }

    /// Makes a call if the budget allows it; `call` gets whether the call is a probe.
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
        let mut pending = PendingCall { platform: self, permit, end: CallEnd::Abandoned };
        tokio::time::sleep(permit.wait).await;
        let result = call(permit.is_probe).await;
        let has_responded = is_response(&result);
        pending.end = if has_responded { CallEnd::Answered } else { CallEnd::Failed };
        drop(pending);
        let outcome = if has_responded { CallOutcome::Answered } else { CallOutcome::Failed };
        self.observer.record_call(kind, outcome);
        result
    }

    fn refused(&self, kind: CallKind, refusal: Refusal) -> StoreError {
        let (outcome, cause) = match refusal {
            Refusal::RateLimited => (CallOutcome::OverRate, UnavailableCause::Budget),
            Refusal::CircuitOpen => (CallOutcome::CircuitOpen, UnavailableCause::CircuitOpen),
        };
        self.observer.record_call(kind, outcome);
        StoreError::Unavailable(cause)
    }
}

/// A call in flight; returns its permit to the budget when dropped.
struct PendingCall<'a> {
    platform: &'a BudgetedPlatform,
    permit: Permit,
    end: CallEnd,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        let now = self.platform.now();
        let mut state = self.platform.state.lock();
        let State { budget, random } = &mut *state;
        let was_open = budget.is_circuit_open();
        budget.release(now, self.permit, self.end, random);
        let is_open = budget.is_circuit_open();
        if was_open != is_open {
            self.platform.observer.record_circuit_change(is_open);
        }
    }
}

/// Returns whether the platform handled the call, even if it refused the change.
fn is_response<T>(result: &Result<T, StoreError>) -> bool {
    match result {
        Ok(_) | Err(StoreError::Conflict { .. } | StoreError::TooLarge { .. }) => true,
        Err(
            StoreError::Unavailable(_) | StoreError::OutcomeUnknown | StoreError::Protocol { .. },
        ) => false,
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
        // While a probe is in flight other calls are refused, so its wait is limited.
        let wait_for = |is_probe| if is_probe { wait.min(PROBE_WATCH_WAIT) } else { wait };
        self.call(CallKind::Watch, |is_probe| self.store.watch(prefix, after, wait_for(is_probe)))
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
