//! Running an experiment: stand-ins, daemons as tasks, callers, faults, and the report.

use crate::LabError;
use crate::callers::Callers;
use crate::checker::Evidence;
use crate::experiment::Experiment;
use crate::operator;
use crate::report::Report;
use crate::tally::Tally;
use crate::testbed::Laboratory;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Callers of one load in one availability zone, each with its own address and look-ups.
const CALLERS: usize = 8;

/// How long the last change of the configuration may take to be in force after the load.
const LAST_CHANGE_WAIT: Duration = Duration::from_secs(6);

/// What may differ from one run of an experiment to the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of callers and backend servers.
    pub seed: u64,
    /// Length of the run in seconds, in place of the experiment's.
    pub duration_s: Option<u64>,
}

/// Runs an experiment; `progress` gets a line each second.
pub async fn run(
    experiment: &Experiment,
    options: RunOptions,
    progress: impl Fn(String) + Send + Sync,
) -> Result<Report, LabError> {
    let duration_s = options.duration_s.unwrap_or(experiment.duration_s);
    let laboratory = Laboratory::start(experiment, options.seed).await?;
    let tally = Arc::new(Tally::new(laboratory.record.clone()));
    let start = Instant::now();
    let end = start + Duration::from_secs(duration_s);
    let mut loads = JoinSet::new();
    for callers in callers(&laboratory, experiment, options.seed, &tally)? {
        loads.spawn(callers.run(end));
    }
    let mut faults = JoinSet::new();
    for fault in experiment.faults.iter().filter(|fault| fault.at_s < duration_s as f64) {
        faults.spawn(laboratory.clone().inflict(fault.clone(), start));
    }
    let watching = tokio::spawn(operator::watch(laboratory.clone()));
    for second in 1..=duration_s {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let seen = tally.requests();
        progress(format!(
            "{second:>4} s of {duration_s} s: {} sent, {} answered, {} not run, {} lost",
            seen.sent, seen.answered, seen.not_run, seen.lost
        ));
    }
    while loads.join_next().await.is_some() {}
    while let Some(ended) = faults.join_next().await {
        ended.unwrap_or(Ok(()))?;
    }
    wait_in_force(&laboratory).await;
    watching.abort();
    laboratory.end();
    let evidence = Evidence {
        configuration: &laboratory.configuration,
        visits: &laboratory.record.visits(),
        journal: &laboratory.journal.lock(),
        tally: &tally,
    };
    Ok(evidence.report(experiment.name.clone(), options.seed, duration_s))
}

/// Waits until no change of the configuration is pending, but not longer than it may take.
async fn wait_in_force(laboratory: &Laboratory) {
    let none_pending = async {
        while !laboratory.journal.lock().pending.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    // What is still pending is judged as late.
    let _ = tokio::time::timeout(LAST_CHANGE_WAIT, none_pending).await;
}

fn callers(
    laboratory: &Arc<Laboratory>,
    experiment: &Experiment,
    seed: u64,
    tally: &Arc<Tally>,
) -> Result<Vec<Callers>, LabError> {
    let configuration = &laboratory.configuration;
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
                addresses: laboratory.callers_in(position.into(), CALLERS),
                seed: seed ^ ((all.len() as u64 + 1) << 32) ^ position as u64,
                laboratory: laboratory.clone(),
                tally: tally.clone(),
            });
        }
    }
    Ok(all)
}
