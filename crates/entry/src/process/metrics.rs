//! Counters and histograms of an instance.

use crate::error::EntryError;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;

/// Upper bounds of the latency buckets, dense around the latency objectives of 400 to 600 ms and
/// extending to the timeouts of seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 1.0, 2.0, 4.0];

/// Most customers with a label of their own over the lifetime of a process, however often the
/// configuration changes.
const MAX_CUSTOMER_LABELS: usize = 64;

/// Label shared by the customers without one of their own.
const OTHER_CUSTOMERS: &str = "(other)";

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time to the end of a response, by route.
    pub latency: HistogramVec,
    /// Requests by route and outcome.
    pub requests: IntCounterVec,
    /// Attempts by service and outcome.
    pub attempts: IntCounterVec,
    /// Calls to the store by subject and outcome.
    pub store_calls: IntCounterVec,
    /// Connections opened to backend servers, by service.
    pub connections: IntCounterVec,
    /// Overdue responses to requests that may be repeated, by service and action taken.
    pub overdue: IntCounterVec,
    /// Decisions on further attempts, by service, kind and whether the retry budget permitted them.
    pub retries: IntCounterVec,
    /// Requests relayed for other instances, by outcome.
    pub relayed: IntCounterVec,
    /// Changes of whether backend servers are reached, and checks of it, by event and kind.
    pub reach: IntCounterVec,
    /// Requests passed on to other instances as no backend server is reached, by service.
    pub passed_on: IntCounterVec,
    /// Policies that produced no shares, by arm.
    pub policy_failures: IntCounterVec,
    /// Requests quarantined or released because backend servers crashed during them, by event.
    pub suspects: IntCounterVec,
    /// Changes of the conditions that backend servers report, by event.
    pub conditions: IntCounterVec,
    /// Steps of roll-outs, by event.
    pub rollouts: IntCounterVec,
    /// Requests by customer and outcome; see [`Metrics::customer_label`].
    pub customers: IntCounterVec,
    /// Time to the end of a response, by customer; the labels are those of `customers`.
    pub customer_latency: HistogramVec,
    customer_labels: RefCell<HashSet<Arc<str>>>,
    /// Look-ups by outcome.
    pub look_ups: IntCounterVec,
    /// Connections ended while they waited for their callers, by listener, what they waited for and what was short.
    pub ended_connections: IntCounterVec,
    /// Connections closed when they were accepted, by listener.
    pub refused_connections: IntCounterVec,
    /// Configuration version, number of backend servers and number of instances.
    pub state: IntGaugeVec,
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
        let state = IntGaugeVec::new(Opts::new("runpin_entry_known", "What is known."), &["of"])?;
        registry.register(Box::new(state.clone()))?;
        let options =
            HistogramOpts::new("runpin_entry_customer_latency_seconds", "Time to the answer.")
                .buckets(LATENCY_BUCKETS_S.to_vec());
        let customer_latency = HistogramVec::new(options, &["customer"])?;
        registry.register(Box::new(customer_latency.clone()))?;
        Ok(Self {
            customer_latency,
            customer_labels: RefCell::default(),
            customers: counter(
                "runpin_entry_customer_requests_total",
                "Requests by customer and outcome.",
                &["customer", "outcome"],
            )?,
            latency,
            state,
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
            retries: counter(
                "runpin_entry_retries_total",
                "Further attempts by kind and whether the retry budget permitted them.",
                &["service", "kind", "outcome"],
            )?,
            relayed: counter(
                "runpin_entry_relayed_total",
                "Requests of other instances by outcome.",
                &["outcome"],
            )?,
            reach: counter(
                "runpin_entry_reach_total",
                "Changes of whether backend servers are reached, and checks of it.",
                &["event", "kind"],
            )?,
            passed_on: counter(
                "runpin_entry_passed_on_total",
                "Requests passed on as no backend server was reached.",
                &["service"],
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
            conditions: counter(
                "runpin_entry_conditions_total",
                "Changes of what backend servers say of their condition.",
                &["event"],
            )?,
            rollouts: counter(
                "runpin_entry_rollouts_total",
                "Steps of roll-outs that became known.",
                &["event"],
            )?,
            look_ups: counter("runpin_entry_look_ups_total", "Look-ups.", &["outcome"])?,
            ended_connections: counter(
                "runpin_entry_ended_connections_total",
                "Connections ended for lack of room while they waited for their callers.",
                &["listener", "waiting_for", "short_of"],
            )?,
            refused_connections: counter(
                "runpin_entry_refused_connections_total",
                "Connections closed for lack of room when they were accepted.",
                &["listener"],
            )?,
            registry,
        })
    }

    /// The label of a customer: its name if it is large and the number of labels permits, otherwise
    /// the shared label.
    pub fn customer_label<'a>(&self, name: &'a Arc<str>, is_large: bool) -> &'a str {
        let mut labels = self.customer_labels.borrow_mut();
        let is_below_limit = labels.len() < MAX_CUSTOMER_LABELS;
        if labels.contains(name) || is_large && is_below_limit && labels.insert(name.clone()) {
            name
        } else {
            OTHER_CUSTOMERS
        }
    }

    /// Renders all metrics in the Prometheus text format.
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
