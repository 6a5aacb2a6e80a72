//! `runpin entry rollout`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// show the versions of services that are brought in, as an instance sees them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(super) struct Rollout {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// name of the service; all if it is left out
    #[argh(positional)]
    service: Option<String>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// State of a roll-out at an instance.
#[derive(Debug, Deserialize, Serialize)]
struct RolloutStatus {
    service: String,
    target_version: String,
    duration_ms: u64,
    age_ms: u64,
    /// Which requests the target version may get.
    reach: String,
    /// Fraction of the requests that the target version may get.
    share: f64,
    spreads_for_ms: Option<u64>,
    /// Outcome that a judging instance found.
    found: Option<String>,
    found_ms_ago: Option<u64>,
    /// Outcome that is stored.
    settled: Option<String>,
    target_slots: u64,
    other_slots: u64,
    /// Requests in flight from this instance to other versions.
    others_in_flight: u32,
    is_judge: bool,
    /// Number of instances whose reports this one has.
    reports: usize,
    reported_target: Counts,
    reported_others: Counts,
    own_target: Counts,
    own_others: Counts,
}

/// Counts of the exchanges with one or several versions.
#[derive(Debug, Deserialize, Serialize)]
struct Counts {
    /// Exchanges that succeeded or failed.
    ended: u32,
    failed: u32,
    /// Exchanges whose latency is comparable.
    timed: u32,
    /// Comparable exchanges that took several times the warm latency.
    slow: u32,
}

impl Display for Counts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { ended, failed, timed, slow } = self;
        write!(formatter, "{failed} of {ended} failed, {slow} of {timed} warm ones were slow")
    }
}

/// Queries an instance and prints the roll-outs that it knows.
pub(super) async fn run(options: Rollout) -> Result<Exit, CommandError> {
    let client = Client::without_token(&options.instance)?;
    let mut rollouts: Vec<RolloutStatus> = client.read("/v1/rollouts").await?;
    rollouts.retain(|rollout| {
        options.service.as_ref().is_none_or(|service| *service == rollout.service)
    });
    let text: Vec<String> = rollouts.iter().map(describe).collect();
    let text =
        if text.is_empty() { "no version is brought in".to_owned() } else { text.join("\n") };
    options.output.show(&rollouts, text)?;
    Ok(Exit::Done)
}

fn describe(rollout: &RolloutStatus) -> String {
    let mut table = Table::new(["WHAT", "VALUE"]);
    let found = match (&rollout.found, rollout.found_ms_ago) {
        (Some(found), Some(ago_ms)) => format!("{found}, {ago_ms} ms ago"),
        _ => "nothing yet".to_owned(),
    };
    let settled = rollout.settled.clone().unwrap_or_else(|| "not yet".to_owned());
    let share = format!("{}, {:.1} % of the requests", rollout.reach, rollout.share * 100.0);
    let judge = if rollout.is_judge { "this instance is one" } else { "others" };
    for (label, value) in [
        ("service", rollout.service.clone()),
        ("version", rollout.target_version.clone()),
        ("ordered", format!("{} ms ago, for {} ms", rollout.age_ms, rollout.duration_ms)),
        ("may get", share),
        ("slots", format!("{}, others {}", rollout.target_slots, rollout.other_slots)),
        ("judges", judge.to_owned()),
        ("found", found),
        ("settled in the store", settled),
        ("reports", format!("of {} instances", rollout.reports)),
        ("reported of it", rollout.reported_target.to_string()),
        ("reported of others", rollout.reported_others.to_string()),
        ("own of it", rollout.own_target.to_string()),
        ("own of others", rollout.own_others.to_string()),
        ("own under way to others", rollout.others_in_flight.to_string()),
    ] {
        table.add_row([label.to_owned(), value]);
    }
    table.to_string()
}
