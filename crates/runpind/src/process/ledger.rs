//! The ledger of idempotency keys that all requests of one daemon share.

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

/// Metrics of idempotency keys and ledger hand-overs.
#[derive(Clone)]
pub struct LedgerMetrics {
    /// Number of stored keys.
    keys: IntGauge,
    /// Estimated memory of the stored keys in bytes, as compared with the limit.
    bytes: IntGauge,
    /// Requests with a key, by decision.
    requests: IntCounterVec,
    /// Handed-over parts of ledgers, by result.
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

    /// Increments the counter of a decision.
    pub(crate) fn count_decision(&self, decision: &str) {
        self.requests.with_label_values(&[decision]).inc();
    }

    fn count_hand_over_part(&self, result: &str) {
        self.parts.with_label_values(&[result]).inc();
    }

    fn set_size(&self, status: &LedgerStatus) {
        self.keys.set(i64::try_from(status.keys).unwrap_or(i64::MAX));
        self.bytes.set(i64::try_from(status.bytes).unwrap_or(i64::MAX));
    }
}

/// The ledger, and the running exchanges whose outcomes it records.
pub struct LedgerState {
    clock: Arc<dyn Clock>,
    pub(crate) metrics: LedgerMetrics,
    ledger: Mutex<Ledger>,
    exchanges: TaskTracker,
    aborting: CancellationToken,
}

impl LedgerState {
    /// Creates the empty ledger of an incarnation.
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

    /// Returns a summary of the ledger's content.
    pub fn status(&self) -> LedgerStatus {
        self.ledger.lock().status()
    }

    /// Returns the prefix of keys issued now whose home is `home`.
    pub fn prefix(&self, home: Incarnation) -> String {
        let issued_ms = self.ledger.lock().issue_ms(self.clock.now());
        IdempotencyKey::prefix(home, issued_ms)
    }

    /// Decides how a request with a key is handled, and counts the decision.
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
        self.metrics.count_decision(decision_name(&begin));
        begin
    }

    /// Returns the homes whose ledgers this instance took over, for its digest.
    pub fn taken_over_homes(&self) -> Vec<Incarnation> {
        self.ledger.lock().taken_over_homes()
    }

    /// Spawns the exchange of a key; it completes even if its caller disconnects.
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
    pub async fn wait_for_exchanges(&self) {
        self.exchanges.close();
        self.exchanges.wait().await;
    }

    /// Cancels the running exchanges, as the exit of the process would.
    pub fn abort(&self) {
        self.aborting.cancel();
    }

    /// Removes expired keys and sets the size gauges.
    pub fn publish_size(&self) {
        self.ledger.lock().expire(self.clock.now());
        self.metrics.set_size(&self.status());
    }
}

/// A key whose request is in progress on this instance.
///
/// A drop before [`RunningKey::finish`] records the request as possibly executed if any byte of it
/// may have been sent to a backend server.
pub struct RunningKey {
    state: Arc<LedgerState>,
    key: IdempotencyKey,
    /// Set by the first call of `finish`, after which another request may use the key.
    finished: AtomicBool,
}

impl RunningKey {
    /// Creates the guard of a key that [`LedgerState::begin`] allowed to run.
    pub fn new(state: Arc<LedgerState>, key: IdempotencyKey) -> Self {
        Self { state, key, finished: AtomicBool::new(false) }
    }

    /// Records that bytes of the request may be sent to a backend server from now on.
    pub fn record_sent(&self) {
        self.state.ledger.lock().record_sent(&self.key);
    }

    /// Records that the attempt ended without a byte sent.
    pub fn record_not_sent(&self) {
        self.state.ledger.lock().record_not_sent(&self.key);
    }

    /// Records the end of the request and returns the status to report to the caller.
    ///
    /// Only the first call has an effect; later ones return [`ExecutionStatus::Unknown`].
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

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
