//! Runs an experiment: starts the test bed and the callers, injects the faults, and reports.

use crate::LabError;
use crate::callers::Callers;
use crate::checker::RunHistory;
use crate::experiment::Experiment;
use crate::operator;
use crate::report::Report;
use crate::tally::Tally;
use crate::testbed::Testbed;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Number of callers per load and availability zone, each with its own address and look-up cache.
const CALLERS_PER_LOAD: usize = 8;

/// Maximum wait after the load for the activation of pending configuration changes.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Options of one run of an experiment.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of callers and backend servers.
    pub seed: u64,
    /// Duration in seconds that overrides the experiment's.
    pub duration_s: Option<u64>,
}

/// Runs an experiment and calls `progress` with a status line each second.
pub async fn run(
    experiment: &Experiment,
    options: RunOptions,
    progress: impl Fn(String) + Send + Sync,
) -> Result<Report, LabError> {
    let duration_s = options.duration_s.unwrap_or(experiment.duration_s);
    let testbed = Testbed::start(experiment, options.seed).await?;
    let tally = Arc::new(Tally::new(testbed.record.clone()));
    let start = Instant::now();
    let end = start + Duration::from_secs(duration_s);
    let mut load_tasks = JoinSet::new();
    for callers in build_callers(&testbed, experiment, options.seed, &tally)? {
        load_tasks.spawn(callers.run(end));
    }
    let mut fault_tasks = JoinSet::new();
    for fault in experiment.faults.iter().filter(|fault| fault.at_s < duration_s as f64) {
        fault_tasks.spawn(testbed.clone().inject_fault(fault.clone(), start));
    }
    let version_tracker = tokio::spawn(operator::track_versions(testbed.clone()));
    for second in 1..=duration_s {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let counts = tally.request_counts();
        progress(format!(
            "{second:>4} s of {duration_s} s: {} sent, {} answered, {} not run, {} lost",
            counts.sent, counts.answered, counts.not_run, counts.lost
        ));
    }
    while load_tasks.join_next().await.is_some() {}
    while let Some(ended) = fault_tasks.join_next().await {
        ended.unwrap_or(Ok(()))?;
    }
    wait_for_pending_changes(&testbed).await;
    version_tracker.abort();
    testbed.kill_instances();
    let history = RunHistory {
        configuration: &testbed.configuration,
        received_requests: &testbed.record.received_requests(),
        event_log: &testbed.event_log.lock(),
        tally: &tally,
    };
    Ok(history.report(experiment.name.clone(), options.seed, duration_s))
}

/// Waits until no configuration change is pending, for at most `ACTIVATION_TIMEOUT`.
async fn wait_for_pending_changes(testbed: &Testbed) {
    let none_pending = async {
        while !testbed.event_log.lock().pending.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    // On a timeout, the changes that are still pending count as violations.
    let _ = tokio::time::timeout(ACTIVATION_TIMEOUT, none_pending).await;
}

fn build_callers(
    testbed: &Arc<Testbed>,
    experiment: &Experiment,
    seed: u64,
    tally: &Arc<Tally>,
) -> Result<Vec<Callers>, LabError> {
    let configuration = &testbed.configuration;
    let mut all = Vec::new();
    for load in &experiment.loads {
        if configuration.service(&load.service).is_none() {
            let name = load.service.clone();
            return Err(LabError::UnknownName { field: "load.service", name });
        }
        let is_named = |zone: &str| match &load.availability_zones {
            Some(zones) => zones.iter().any(|named| named == zone),
            None => true,
        };
        for (position, zone) in configuration.availability_zones.iter().enumerate() {
            if !is_named(&zone.name) {
                continue;
            }
            all.push(Callers {
                load: load.clone(),
                zone: zone.name.clone(),
                addresses: testbed.caller_addresses(position.into(), CALLERS_PER_LOAD),
                seed: seed ^ ((all.len() as u64 + 1) << 32) ^ position as u64,
                testbed: testbed.clone(),
                tally: tally.clone(),
            });
        }
    }
    Ok(all)
}
