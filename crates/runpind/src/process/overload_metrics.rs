//! Metrics of queues, refusals, retries and backend servers.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};
use steering::servers::{ServerState, ServerStatus};

/// Upper bounds of the histogram buckets of queue waits, in seconds.
const WAIT_BUCKETS_S: [f64; 10] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// Metrics of overload handling.
#[derive(Clone)]
pub struct OverloadMetrics {
    /// Requests that wait for capacity, by service.
    pub waiting: IntGaugeVec,
    /// Queue wait of admitted requests, by service.
    pub waits: HistogramVec,
    /// Requests refused for lack of capacity, by service, class and cause.
    pub refusals: IntCounterVec,
    /// Retries of requests at a backend server, by service.
    pub retries: IntCounterVec,
    /// Retries denied by the retry budget, by service.
    pub retries_denied: IntCounterVec,
    /// Number of backend servers by state.
    pub servers: IntGaugeVec,
}

impl OverloadMetrics {
    /// Registers the metrics.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let waits = HistogramVec::new(
            HistogramOpts::new(
                "runpin_queue_wait_seconds",
                "Time that admitted requests waited for room.",
            )
            .buckets(WAIT_BUCKETS_S.to_vec()),
            &["service"],
        )?;
        registry.register(Box::new(waits.clone()))?;
        Ok(Self {
            waiting: gauge("runpin_queue_length", "Requests that wait for room.", &["service"])?,
            waits,
            refusals: counter(
                "runpin_refusals_total",
                "Requests refused for lack of room.",
                &["service", "class", "cause"],
            )?,
            retries: counter(
                "runpin_retries_total",
                "Requests sent to a backend server once more.",
                &["service"],
            )?,
            retries_denied: counter(
                "runpin_retries_denied_total",
                "Retries that the budget did not allow.",
                &["service"],
            )?,
            servers: gauge("runpin_backend_servers", "Backend servers by state.", &["state"])?,
        })
    }

    /// Sets the number of backend servers in each state.
    pub fn set_server_states(&self, servers: &[ServerStatus]) {
        for state in ServerState::ALL {
            let count = servers.iter().filter(|server| server.state == state).count();
            self.servers.with_label_values(&[state.as_str()]).set(count as i64);
        }
    }
}
