//! `runpin entry customer`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// show what an instance knows of a customer and its quota
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "customer")]
pub(super) struct Customer {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// name of the customer
    #[argh(positional)]
    name: String,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

#[derive(Debug, Deserialize, Serialize)]
struct Answer {
    name: String,
    configuration_version: u64,
    keys: usize,
    priority: Option<u8>,
    allowed_regions: String,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
    part: f64,
    held: f64,
    pooled: Option<f64>,
    granted: u64,
    refused: u64,
    limited_ms: Option<u64>,
}

/// Asks an instance and shows its answer.
pub(super) async fn run(options: Customer) -> Result<Exit, CommandError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if options.name.is_empty() || !options.name.chars().all(allowed) {
        return Err(CommandError::InvalidName { flag: "name", value: options.name });
    }
    let client = Client::without_token(&options.instance)?;
    let answer: Answer = client.read(&format!("/v1/customers/{}", options.name)).await?;
    options.output.show(&answer, describe(&answer))?;
    Ok(Exit::Done)
}

fn describe(answer: &Answer) -> String {
    let mut table = Table::new(["WHAT", "VALUE"]);
    let quota = match (answer.rate_per_s, answer.burst) {
        (Some(rate), Some(burst)) => {
            format!("{rate} a second and {burst} at once, over all instances")
        }
        _ => "none".to_owned(),
    };
    let priority = answer.priority.map_or_else(|| "the route's".to_owned(), |it| it.to_string());
    let pooled = answer.pooled.map_or_else(|| "nothing".to_owned(), |it| format!("{it:.1}"));
    let limited = answer.limited_ms.map_or_else(|| "no".to_owned(), |ms| format!("for {ms} ms"));
    for (what, value) in [
        ("customer", answer.name.clone()),
        ("configuration", answer.configuration_version.to_string()),
        ("keys", answer.keys.to_string()),
        ("priority", priority),
        ("allowed regions", answer.allowed_regions.clone()),
        ("quota", quota),
        ("lent to this instance", format!("{:.1} % of all quotas", answer.part * 100.0)),
        ("held for own requests", format!("{:.1}", answer.held)),
        ("kept for the region", pooled),
        ("granted here", answer.granted.to_string()),
        ("refused here", answer.refused.to_string()),
        ("limited now", limited),
    ] {
        table.add_row([what.to_owned(), value]);
    }
    table.to_string()
}
