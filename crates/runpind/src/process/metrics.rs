//! Prometheus metrics of the daemon.

use super::ledger::LedgerMetrics;
use super::membership_metrics::MembershipMetrics;
use super::overload_metrics::OverloadMetrics;
use configuration::Class;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// All metrics of one daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and outcome.
    pub requests: IntCounterVec,
    /// Latency from a request's head to the end of its response, by service, class and arm.
    pub latency: HistogramVec,
    /// Refusals by service, class, arm and kind of problem.
    pub refusals: IntCounterVec,
    /// Lookups by outcome.
    pub lookups: IntCounterVec,
    /// Requests by service, arm and the availability zone of the first site on their route.
    pub site_choices: IntCounterVec,
    /// Sites that shadow arms would have chosen, with the same labels.
    pub shadow_choices: IntCounterVec,
    /// Routing tables built without the arm's policy, as it failed, by arm.
    pub policy_failures: IntCounterVec,
    /// Number of the active configuration version.
    pub configuration_version: IntGauge,
    /// Metrics of idempotency keys.
    pub ledger: LedgerMetrics,
    /// Metrics of queues, refusals, retries and backend servers.
    pub overload: OverloadMetrics,
    /// Metrics of the membership.
    pub membership: MembershipMetrics,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("runpin_requests_total", "Requests by outcome."),
            &["service", "class", "outcome"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "runpin_request_duration_seconds",
                "Time from a request's head to the end of its answer.",
            )
            .buckets(LATENCY_BUCKETS_S.to_vec()),
            &["service", "class", "arm"],
        )?;
        let refusals = IntCounterVec::new(
            Opts::new("runpin_problems_total", "Requests that got a problem, by its kind."),
            &["service", "class", "arm", "kind"],
        )?;
        let lookups = IntCounterVec::new(
            Opts::new("runpin_lookups_total", "Look-ups by outcome."),
            &["outcome"],
        )?;
        let choice_labels = ["service", "arm", "availability_zone"];
        let site_choices = IntCounterVec::new(
            Opts::new("runpin_site_choices_total", "Requests by the site that they try first."),
            &choice_labels,
        )?;
        let shadow_choices = IntCounterVec::new(
            Opts::new("runpin_shadow_choices_total", "What shadow arms would have chosen."),
            &choice_labels,
        )?;
        let policy_failures = IntCounterVec::new(
            Opts::new("runpin_policy_failures_total", "Tables built without the arm's policy."),
            &["arm"],
        )?;
        let configuration_version = IntGauge::new(
            "runpin_configuration_version",
            "Number of the configuration version in force.",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(lookups.clone()))?;
        registry.register(Box::new(site_choices.clone()))?;
        registry.register(Box::new(shadow_choices.clone()))?;
        registry.register(Box::new(policy_failures.clone()))?;
        registry.register(Box::new(configuration_version.clone()))?;
        let ledger = LedgerMetrics::register(&registry)?;
        let overload = OverloadMetrics::register(&registry)?;
        let membership = MembershipMetrics::new(&registry)?;
        Ok(Self {
            registry,
            requests,
            latency,
            refusals,
            lookups,
            site_choices,
            shadow_choices,
            policy_failures,
            configuration_version,
            ledger,
            membership,
            overload,
        })
    }

    /// Returns the registry, for the registration of further metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a completed request.
    pub fn count_request(&self, service: &str, class: Class, outcome: &str) {
        self.requests.with_label_values(&[service, class.as_str(), outcome]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
