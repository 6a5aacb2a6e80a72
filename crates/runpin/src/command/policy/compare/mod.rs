//! `runpin policy compare`.

mod collect;
mod report;

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use collect::Measurement;
use report::{GroupReport, Report};
use std::net::SocketAddr;
use std::time::Duration;
use steering::compare::{MIN_PERIODS, compare};

/// Number of periods that the measurement time is divided into.
const PERIOD_COUNT: u32 = 30;

/// Seed of the bootstrap; fixed, so that the same measurements always give the same verdict.
const BOOTSTRAP_SEED: u64 = 1;

/// compare two arms on live traffic at the instances named
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct PolicyCompare {
    /// address for operators of an instance, IP:PORT; each one named is asked (RUNPIN_INSTANCE)
    #[argh(option)]
    pub(crate) instance: Vec<SocketAddr>,
    /// time to measure for, in seconds; default 60
    #[argh(option, default = "60.0")]
    duration_s: f64,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// the arm to compare with
    #[argh(positional)]
    base: String,
    /// the arm to be judged
    #[argh(positional)]
    trial: String,
}

/// Measures both arms with the token for reading and prints the comparison.
pub(super) async fn run(options: &PolicyCompare) -> Result<Exit, CommandError> {
    compare_at(&Client::for_reading(&options.instance)?, options).await
}

/// Measures both arms at the instances of the client and prints the comparison.
///
/// # Errors
///
/// Fails if the duration is out of range, no instance responds, or no service received requests for
/// both arms.
pub(crate) async fn compare_at(
    client: &Client,
    options: &PolicyCompare,
) -> Result<Exit, CommandError> {
    let allowed_s = 1.0..=86_400.0;
    if !allowed_s.contains(&options.duration_s) {
        return Err(CommandError::InvalidDuration(options.duration_s));
    }
    let period = Duration::from_secs_f64(options.duration_s) / PERIOD_COUNT;
    let measurement = collect::measure(client, PERIOD_COUNT, period).await?;
    let report = compare_arms(&measurement, &options.base, &options.trial);
    if report.groups.is_empty() {
        let arms = measurement.arms().collect::<Vec<_>>().join(", ");
        let (base, trial) = (options.base.clone(), options.trial.clone());
        return Err(CommandError::NoRequests { base, trial, arms });
    }
    options.output.show(&report, report.describe())?;
    Ok(Exit::Done)
}

fn compare_arms(measurement: &Measurement, base: &str, trial: &str) -> Report {
    let groups = measurement.groups(base, trial);
    let count = groups.len();
    let groups = groups.into_iter().map(|group| {
        let comparison = compare(&group.base.periods, &group.trial.periods, count, BOOTSTRAP_SEED);
        GroupReport::new(group, comparison)
    });
    Report {
        base: base.to_owned(),
        trial: trial.to_owned(),
        instances: measurement.instances(),
        silent_instances: measurement.silent_instances(),
        periods: measurement.periods(),
        enough_periods: measurement.periods() >= MIN_PERIODS,
        groups: groups.collect(),
    }
}
