//! The ledger of idempotency keys, as the requests of one daemon share it.

pub mod hand_over;
mod message;

use super::clock::Clock;
use crate::version::Version;
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};
use steering::ledger::{
    ExchangeResult, ExecutionStatus, Fingerprint, KeyDecision, Ledger, LedgerStatus, Limits,
    Outcome,
};
use steering::{IdempotencyKey, Incarnation};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Counters of requests with an idempotency key.
#[derive(Clone)]
pub struct LedgerMetrics {
    /// Keys remembered.
    keys: IntGauge,
    /// Memory that they take, in bytes, as reckoned for the limit.
    bytes: IntGauge,
    /// Requests with a key, by what was decided.
    requests: IntCounterVec,
    /// Parts of ledgers handed over, by what came back.
    parts: IntCounterVec,
}

impl LedgerMetrics {
    /// Registers the metrics.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let keys = IntGauge::new("runpin_idempotency_keys", "Idempotency keys remembered.")?;
        let bytes = IntGauge::new(
            "runpin_idempotency_keys_bytes",
            "Memory of the idempotency keys remembered, in bytes.",
        )?;
        let requests = IntCounterVec::new(
            Opts::new(
                "runpin_idempotency_key_requests_total",
                "Requests with an idempotency key, by what was decided.",
            ),
            &["decision"],
        )?;
        let parts = IntCounterVec::new(
            Opts::new(
                "runpin_ledger_parts_total",
                "Parts of ledgers handed over at planned stops, by what became of them.",
            ),
            &["result"],
        )?;
        registry.register(Box::new(parts.clone()))?;
        registry.register(Box::new(keys.clone()))?;
        registry.register(Box::new(bytes.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        Ok(Self { keys, bytes, requests, parts })
    }

    /// Counts a decision.
    pub(crate) fn count(&self, decision: &str) {
        self.requests.with_label_values(&[decision]).inc();
    }

    fn count_part(&self, result: &str) {
        self.parts.with_label_values(&[result]).inc();
    }

    fn set_size(&self, status: &LedgerStatus) {
        self.keys.set(i64::try_from(status.keys).unwrap_or(i64::MAX));
        self.bytes.set(i64::try_from(status.bytes).unwrap_or(i64::MAX));
    }
}

/// The ledger with the exchanges whose outcomes it waits for.
pub struct LedgerState {
    clock: Arc<dyn Clock>,
    pub(crate) metrics: LedgerMetrics,
    ledger: Mutex<Ledger>,
    exchanges: TaskTracker,
    aborting: CancellationToken,
}

impl LedgerState {
    /// Makes the empty ledger of an incarnation.
    pub fn new(home: Incarnation, clock: Arc<dyn Clock>, metrics: LedgerMetrics) -> Self {
        let ledger = Ledger::new(home, Limits::default(), clock.now(), unix_ms());
        Self {
            clock,
            metrics,
            ledger: Mutex::new(ledger),
            exchanges: TaskTracker::new(),
            aborting: CancellationToken::new(),
        }
    }

    /// Returns what the ledger holds.
    pub fn status(&self) -> LedgerStatus {
        self.ledger.lock().status()
    }

    /// Returns the prefix of keys whose home is `home`, given now.
    pub fn prefix(&self, home: Incarnation) -> String {
        let issued_ms = self.ledger.lock().issue_ms(self.clock.now());
        IdempotencyKey::prefix(home, issued_ms)
    }

    /// Decides what is done with a request that has a key.
    pub fn begin(
        &self,
        version: &Version,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> KeyDecision {
        let ttl = Duration::from_millis(version.configuration.lookup.idempotency_key_ttl_ms);
        let mut ledger = self.ledger.lock();
        ledger.set_ttl(ttl);
        let begin = ledger.begin(key, fingerprint, self.clock.now());
        drop(ledger);
        self.metrics.count(decision_name(&begin));
        begin
    }

    /// Returns the homes whose ledgers were taken over, which a digest is to name.
    pub fn successor_of(&self) -> Vec<Incarnation> {
        self.ledger.lock().taken_over_homes()
    }

    /// Runs the exchange of a key to its end, whether or not its caller waits for it.
    pub fn spawn(&self, exchange: impl Future<Output = ()> + Send + 'static) {
        let aborting = self.aborting.clone();
        self.exchanges.spawn(async move {
            tokio::select! {
                () = exchange => {}
                () = aborting.cancelled() => {}
            }
        });
    }

    /// Waits until every exchange with a key has ended.
    pub async fn exchanges_ended(&self) {
        self.exchanges.close();
        self.exchanges.wait().await;
    }

    /// Breaks off the exchanges, as the end of the process would.
    pub fn abort(&self) {
        self.aborting.cancel();
    }

    /// Puts the size of the ledger into the metrics.
    pub fn publish_size(&self) {
        self.ledger.lock().expire(self.clock.now());
        self.metrics.set_size(&self.status());
    }
}

/// A key whose request is in progress here.
///
/// If it is dropped before it is finished, the request counts as possibly run as soon as a backend
/// server may have been offered a byte of it.
pub struct RunningKey {
    state: Arc<LedgerState>,
    key: IdempotencyKey,
    /// Set by the first end: the key may be in use again after it.
    finished: AtomicBool,
}

impl RunningKey {
    /// Stands for a key that [`LedgerState::begin`] let run.
    pub fn new(state: Arc<LedgerState>, key: IdempotencyKey) -> Self {
        Self { state, key, finished: AtomicBool::new(false) }
    }

    /// Notes that a backend server may be offered a byte of the request from now on.
    pub fn sent(&self) {
        self.state.ledger.lock().record_sent(&self.key);
    }

    /// Notes that the request came back with no byte offered.
    pub fn returned(&self) {
        self.state.ledger.lock().record_not_sent(&self.key);
    }

    /// Ends the request, and returns what the caller may be told; only the first end counts.
    pub fn finish(&self, ended: ExchangeResult) -> ExecutionStatus {
        if self.finished.swap(true, Ordering::SeqCst) {
            return ExecutionStatus::Unknown;
        }
        self.state.ledger.lock().finish(&self.key, ended, self.state.clock.now())
    }
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        self.finish(ExchangeResult::NotSent);
    }
}

fn decision_name(begin: &KeyDecision) -> &'static str {
    match begin {
        KeyDecision::Run => "run",
        KeyDecision::Replay(Outcome::Answered(_)) => "replay",
        KeyDecision::Replay(Outcome::Ran) => "ran-before",
        KeyDecision::Replay(Outcome::Unknown) => "unknown-before",
        KeyDecision::InProgress => "in-progress",
        KeyDecision::Mismatch => "mismatch",
        KeyDecision::Full => "full",
        KeyDecision::Expired => "expired",
        KeyDecision::NotIssued => "not-issued",
        KeyDecision::Closed => "closed",
        KeyDecision::HandedOver => "handed-on",
        KeyDecision::NotHome => "not-home",
    }
}

/// Returns milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
