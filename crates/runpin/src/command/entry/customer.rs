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

/// State of a customer at an instance.
#[derive(Debug, Deserialize, Serialize)]
struct CustomerStatus {
    name: String,
    configuration_version: u64,
    keys: usize,
    priority: Option<u8>,
    allowed_regions: String,
    rate_per_s: Option<f64>,
    burst: Option<f64>,
    /// Fraction of the quota that is lent to this instance; 1 is all of it.
    part: f64,
    /// Requests that this instance may grant without asking other instances.
    held: f64,
    /// Requests that it may grant to other instances of its region; `None` if it does not manage the
    /// quota of the customer.
    pooled: Option<f64>,
    granted: u64,
    refused: u64,
    /// Time for which requests have been refused, in milliseconds; `None` if they are not refused.
    limited_ms: Option<u64>,
}

/// Queries an instance and prints its response.
pub(super) async fn run(options: Customer) -> Result<Exit, CommandError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if options.name.is_empty() || !options.name.chars().all(allowed) {
        return Err(CommandError::InvalidName { flag: "name", value: options.name });
    }
    let client = Client::without_token(&options.instance)?;
    let customer: CustomerStatus = client.read(&format!("/v1/customers/{}", options.name)).await?;
    options.output.show(&customer, describe(&customer))?;
    Ok(Exit::Done)
}

fn describe(customer: &CustomerStatus) -> String {
    let mut table = Table::new(["WHAT", "VALUE"]);
    let quota = match (customer.rate_per_s, customer.burst) {
        (Some(rate), Some(burst)) => {
            format!("{rate} a second and {burst} at once, over all instances")
        }
        _ => "none".to_owned(),
    };
    let priority =
        customer.priority.map_or_else(|| "the route's".to_owned(), |level| level.to_string());
    let pooled =
        customer.pooled.map_or_else(|| "nothing".to_owned(), |requests| format!("{requests:.1}"));
    let limited = customer.limited_ms.map_or_else(|| "no".to_owned(), |ms| format!("for {ms} ms"));
    for (label, value) in [
        ("customer", customer.name.clone()),
        ("configuration", customer.configuration_version.to_string()),
        ("keys", customer.keys.to_string()),
        ("priority", priority),
        ("allowed regions", customer.allowed_regions.clone()),
        ("quota", quota),
        ("lent to this instance", format!("{:.1} % of all quotas", customer.part * 100.0)),
        ("held for own requests", format!("{:.1}", customer.held)),
        ("kept for the region", pooled),
        ("granted here", customer.granted.to_string()),
        ("refused here", customer.refused.to_string()),
        ("limited now", limited),
    ] {
        table.add_row([label.to_owned(), value]);
    }
    table.to_string()
}
