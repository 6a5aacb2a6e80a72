//! Metrics of the configuration's distribution.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the configuration's distribution.
#[derive(Clone)]
pub struct ConfigurationMetrics {
    /// Versions adopted, by source: `platform` or `peer`.
    pub adopted: IntCounterVec,
    /// Failures to adopt, by kind.
    pub failures: IntCounterVec,
    /// Bytes of manifests and chunks received, by source.
    pub received_bytes: IntCounterVec,
    /// Announcements of versions to other instances, by outcome.
    pub announcements: IntCounterVec,
    /// Highest version number reported by any source.
    pub highest_reported: IntGauge,
    /// 1 while this instance watches the platform, else 0.
    pub watcher: IntGauge,
}

impl ConfigurationMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| -> Result<_, prometheus::Error> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let gauge = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            adopted: counters(
                "runpin_configuration_adopted_total",
                "Versions put in force.",
                "source",
            )?,
            failures: counters(
                "runpin_configuration_failures_total",
                "Failures to adopt a version.",
                "kind",
            )?,
            received_bytes: counters(
                "runpin_configuration_received_bytes_total",
                "Bytes of manifests and chunks received.",
                "source",
            )?,
            announcements: counters(
                "runpin_configuration_told_total",
                "Instances told of a version.",
                "outcome",
            )?,
            highest_reported: gauge(
                "runpin_configuration_highest_heard",
                "Highest number of a version heard of.",
            )?,
            watcher: gauge(
                "runpin_configuration_watcher",
                "Whether this instance watches the platform.",
            )?,
        })
    }
}
