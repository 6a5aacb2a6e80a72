//! `runpin entry explain`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// show what an instance made of a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// identity of the request, as its caller sent it
    #[argh(positional)]
    request_id: String,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

#[derive(Debug, Deserialize, Serialize)]
struct Decision {
    request_id: String,
    route: String,
    service: String,
    customer: Option<String>,
    arm: Option<String>,
    outcome: String,
    offers: Vec<Offer>,
    configuration_version: u64,
    servers_as_of: u64,
    took_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct Offer {
    server: String,
    availability_zone: String,
    version: String,
    load: f64,
    slots: u32,
    cold: bool,
    ended_ms: u64,
    outcome: String,
}

/// Asks an instance and shows its answer.
pub(super) async fn run(options: Explain) -> Result<Exit, CommandError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if options.request_id.is_empty() || !options.request_id.chars().all(allowed) {
        return Err(CommandError::InvalidName { flag: "request_id", value: options.request_id });
    }
    let client = Client::without_token(&options.instance)?;
    let path = format!("/v1/requests/{}", options.request_id);
    let decisions: Vec<Decision> = client.read(&path).await?;
    let text: Vec<String> = decisions.iter().map(describe).collect();
    options.output.show(&decisions, text.join("\n"))?;
    Ok(Exit::Done)
}

fn describe(decision: &Decision) -> String {
    let mut table =
        Table::new(["BACKEND SERVER", "ZONE", "VERSION", "LOAD", "COLD", "UNTIL MS", "OUTCOME"]);
    for offer in &decision.offers {
        table.add_row([
            offer.server.clone(),
            offer.availability_zone.clone(),
            offer.version.clone(),
            format!("{:.1} of {}", offer.load, offer.slots),
            if offer.cold { "yes" } else { "no" }.to_owned(),
            offer.ended_ms.to_string(),
            offer.outcome.clone(),
        ]);
    }
    format!(
        "request {}, route {}, service {}, customer {}, arm {}: {} after {} ms, by configuration {} and backend \
         servers as of {}\n{table}",
        decision.request_id,
        decision.route,
        decision.service,
        decision.customer.as_deref().unwrap_or("none"),
        decision.arm.as_deref().unwrap_or("none"),
        decision.outcome,
        decision.took_ms,
        decision.configuration_version,
        decision.servers_as_of
    )
}
