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

#[derive(Debug, Deserialize, Serialize)]
struct Answer {
    service: String,
    target_version: String,
    duration_ms: u64,
    age_ms: u64,
    reach: String,
    share: f64,
    spreads_for_ms: Option<u64>,
    found: Option<String>,
    found_ms_ago: Option<u64>,
    settled: Option<String>,
    target_slots: u64,
    other_slots: u64,
    others_in_flight: u32,
    is_judge: bool,
    reports: usize,
    reported_target: Counts,
    reported_others: Counts,
    own_target: Counts,
    own_others: Counts,
}

/// Answers of one version.
#[derive(Debug, Deserialize, Serialize)]
struct Counts {
    ended: u32,
    failed: u32,
    timed: u32,
    slow: u32,
}

impl Display for Counts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { ended, failed, timed, slow } = self;
        write!(formatter, "{failed} of {ended} failed, {slow} of {timed} warm ones were slow")
    }
}

/// Asks an instance and shows its answer.
pub(super) async fn run(options: Rollout) -> Result<Exit, CommandError> {
    let client = Client::without_token(&options.instance)?;
    let mut answers: Vec<Answer> = client.read("/v1/rollouts").await?;
    answers.retain(|it| options.service.as_ref().is_none_or(|service| *service == it.service));
    let text: Vec<String> = answers.iter().map(describe).collect();
    let text =
        if text.is_empty() { "no version is brought in".to_owned() } else { text.join("\n") };
    options.output.show(&answers, text)?;
    Ok(Exit::Done)
}

fn describe(answer: &Answer) -> String {
    let mut table = Table::new(["WHAT", "VALUE"]);
    let found = match (&answer.found, answer.found_ms_ago) {
        (Some(found), Some(ago_ms)) => format!("{found}, {ago_ms} ms ago"),
        _ => "nothing yet".to_owned(),
    };
    let settled = answer.settled.clone().unwrap_or_else(|| "not yet".to_owned());
    let share = format!("{}, {:.1} % of the requests", answer.reach, answer.share * 100.0);
    let judge = if answer.is_judge { "this instance is one" } else { "others" };
    for (what, value) in [
        ("service", answer.service.clone()),
        ("version", answer.target_version.clone()),
        ("ordered", format!("{} ms ago, for {} ms", answer.age_ms, answer.duration_ms)),
        ("may get", share),
        ("slots", format!("{}, others {}", answer.target_slots, answer.other_slots)),
        ("judges", judge.to_owned()),
        ("found", found),
        ("settled in the store", settled),
        ("reports", format!("of {} instances", answer.reports)),
        ("reported of it", answer.reported_target.to_string()),
        ("reported of others", answer.reported_others.to_string()),
        ("own of it", answer.own_target.to_string()),
        ("own of others", answer.own_others.to_string()),
        ("own under way to others", answer.others_in_flight.to_string()),
    ] {
        table.add_row([what.to_owned(), value]);
    }
    table.to_string()
}
