//! Counters and histograms of an instance.

use crate::error::EntryError;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets of answer times: around the objectives of 400 to 600 ms and the
/// timeouts of seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 1.0, 2.0, 4.0];

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time to the end of an answer, by route.
    pub latency: HistogramVec,
    /// Requests by route and outcome.
    pub requests: IntCounterVec,
    /// Attempts by service and how they ended.
    pub attempts: IntCounterVec,
    /// Calls to the store by subject and outcome.
    pub store_calls: IntCounterVec,
    /// Connections opened to backend servers, by service.
    pub connections: IntCounterVec,
    /// Overdue answers of requests that may be repeated, by service and what was done about them.
    pub overdue: IntCounterVec,
    /// Policies that gave no shares, by arm.
    pub policy_failures: IntCounterVec,
    /// Requests that were held back, or released, as backend servers ended under them.
    pub suspects: IntCounterVec,
    /// Look-ups by outcome.
    pub look_ups: IntCounterVec,
    /// What is known: revisions, backend servers, instances.
    pub known: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, EntryError> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| -> Result<_, EntryError> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let options = HistogramOpts::new("runpin_entry_latency_seconds", "Time to the answer.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let latency = HistogramVec::new(options, &["route"])?;
        registry.register(Box::new(latency.clone()))?;
        let known = IntGaugeVec::new(Opts::new("runpin_entry_known", "What is known."), &["of"])?;
        registry.register(Box::new(known.clone()))?;
        Ok(Self {
            latency,
            known,
            requests: counter(
                "runpin_entry_requests_total",
                "Requests by outcome.",
                &["route", "outcome"],
            )?,
            attempts: counter(
                "runpin_entry_attempts_total",
                "Attempts by ending.",
                &["service", "ending"],
            )?,
            store_calls: counter(
                "runpin_entry_store_calls_total",
                "Calls to the store.",
                &["subject", "outcome"],
            )?,
            connections: counter(
                "runpin_entry_connections_total",
                "Connections opened to backend servers.",
                &["service"],
            )?,
            overdue: counter(
                "runpin_entry_overdue_total",
                "Overdue answers by what was done.",
                &["service", "action"],
            )?,
            policy_failures: counter(
                "runpin_entry_policy_failures_total",
                "Policies that gave no shares.",
                &["arm"],
            )?,
            suspects: counter(
                "runpin_entry_suspects_total",
                "Requests held back or released.",
                &["event"],
            )?,
            look_ups: counter("runpin_entry_look_ups_total", "Look-ups.", &["outcome"])?,
            registry,
        })
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, EntryError> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
