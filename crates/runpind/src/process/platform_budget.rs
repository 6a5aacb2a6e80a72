//! Rate limits of calls to the platform, and their metrics.

use super::Process;
use super::dependencies::Dependencies;
use super::metrics::Metrics;
use platform::{BudgetedPlatform, CallKind, CallObserver, CallOutcome};
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use std::sync::Arc;
use std::time::Duration;
use steering::Incarnation;
use steering::call_budget::rate_per_s;

/// Rate limit of calls to accept a configuration, in calls per second; it may upload hundreds of
/// chunks.
const PROPOSAL_CALLS_PER_S: f64 = 100.0;

/// Interval between updates of the rate from the number of instances that share the platform.
const RATE_UPDATE_PERIOD: Duration = Duration::from_secs(5);

/// Interval between checks for the first list of instances.
const MEMBERS_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Metrics of calls to the platform.
#[derive(Clone)]
pub struct PlatformMetrics {
    calls: IntCounterVec,
    circuit_open: IntGauge,
}

impl PlatformMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let calls = IntCounterVec::new(
            Opts::new("runpin_platform_calls_total", "Calls to the platform, made or refused."),
            &["kind", "outcome"],
        )?;
        let circuit_open = IntGauge::new(
            "runpin_platform_circuit_open",
            "Whether calls are refused because the platform was out of reach.",
        )?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(circuit_open.clone()))?;
        Ok(Self { calls, circuit_open })
    }
}

impl CallObserver for PlatformMetrics {
    fn record_call(&self, kind: CallKind, outcome: CallOutcome) {
        self.calls.with_label_values(&[kind_label(kind), outcome_label(outcome)]).inc();
    }

    fn record_circuit_change(&self, is_open: bool) {
        self.circuit_open.set(i64::from(is_open));
        match is_open {
            true => log::warn!("platform unreachable; circuit open, probing periodically"),
            false => log::info!("platform reachable again; circuit closed"),
        }
    }
}

fn kind_label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Get => "get",
        CallKind::List => "list",
        CallKind::Put => "put",
        CallKind::Delete => "delete",
        CallKind::Watch => "watch",
        CallKind::Instances => "instances",
    }
}

fn outcome_label(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Answered => "answered",
        CallOutcome::Failed => "failed",
        CallOutcome::OverRate => "over_rate",
        CallOutcome::CircuitOpen => "circuit_open",
    }
}

/// Rate-limited clients of the platform.
pub(super) struct Budget {
    /// Client for all regular calls.
    pub(super) regular: Arc<BudgetedPlatform>,
    /// Client for accepting a configuration.
    pub(super) proposals: Arc<BudgetedPlatform>,
}

impl Budget {
    /// Wraps the platform clients of `dependencies`.
    pub(super) fn new(
        metrics: &Metrics,
        dependencies: &Dependencies,
        incarnation: Incarnation,
    ) -> Result<Self, prometheus::Error> {
        let observer = Arc::new(PlatformMetrics::new(metrics.registry())?);
        let budgeted = |rate_per_s, seed| {
            Arc::new(BudgetedPlatform::new(
                dependencies.store.clone(),
                dependencies.directory.clone(),
                observer.clone(),
                rate_per_s,
                seed,
            ))
        };
        Ok(Self {
            regular: budgeted(rate_per_s(1, true), incarnation.0),
            proposals: budgeted(PROPOSAL_CALLS_PER_S, !incarnation.0),
        })
    }
}

/// Keeps the rate limit at this instance's fraction of the platform's total rate, until the task is
/// dropped.
pub async fn update_rate(process: Arc<Process>, platform: Arc<BudgetedPlatform>) {
    while process.members.load().is_none() {
        tokio::time::sleep(MEMBERS_CHECK_PERIOD).await;
    }
    loop {
        let instances = process.members.load().as_ref().map_or(1, |members| members.members.len());
        platform.set_rate(rate_per_s(
            instances,
            super::configuration::watch::is_platform_watcher(&process),
        ));
        tokio::time::sleep(RATE_UPDATE_PERIOD).await;
    }
}
