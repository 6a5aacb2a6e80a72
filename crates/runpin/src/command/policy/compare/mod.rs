//! `runpin policy compare`.

mod collect;
mod report;

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use collect::Window;
use report::{GroupReport, Report};
use std::net::SocketAddr;
use std::time::Duration;
use steering::compare::{LEAST_PERIODS, compare};

/// Number of periods that the time is divided into.
const PERIODS: u32 = 30;

/// Seed of the drawings, so that the same measurements always give the same verdict.
const SEED: u64 = 1;

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

/// Measures both arms for a while and shows what differs.
pub(super) async fn run(options: &PolicyCompare) -> Result<Exit, CommandError> {
    compare_at(&Client::for_reading(&options.instance)?, options).await
}

/// Measures both arms at the client's instances and shows what differs.
pub(crate) async fn compare_at(
    client: &Client,
    options: &PolicyCompare,
) -> Result<Exit, CommandError> {
    let allowed = 1.0..=86_400.0;
    if !allowed.contains(&options.duration_s) {
        return Err(CommandError::InvalidDuration(options.duration_s));
    }
    let period = Duration::from_secs_f64(options.duration_s) / PERIODS;
    let window = collect::measure(client, PERIODS, period).await?;
    let report = judge(&window, &options.base, &options.trial);
    if report.groups.is_empty() {
        let arms = window.arms().collect::<Vec<_>>().join(", ");
        let (base, trial) = (options.base.clone(), options.trial.clone());
        return Err(CommandError::NoRequests { base, trial, arms });
    }
    options.output.show(&report, report.describe())?;
    Ok(Exit::Done)
}

fn judge(window: &Window, base: &str, trial: &str) -> Report {
    let groups = window.groups(base, trial);
    let count = groups.len();
    let groups = groups.into_iter().map(|group| {
        let comparison = compare(&group.base.periods, &group.trial.periods, count, SEED);
        GroupReport::new(group, comparison)
    });
    Report {
        base: base.to_owned(),
        trial: trial.to_owned(),
        instances: window.instances(),
        silent_instances: window.silent_instances(),
        periods: window.periods(),
        enough_periods: window.periods() >= LEAST_PERIODS,
        groups: groups.collect(),
    }
}
