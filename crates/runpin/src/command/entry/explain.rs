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

/// How an instance handled one request.
#[derive(Debug, Deserialize, Serialize)]
struct Decision {
    request_id: String,
    route: String,
    service: String,
    customer: Option<String>,
    arm: Option<String>,
    outcome: String,
    /// Attempts at backend servers, in order.
    offers: Vec<AttemptRecord>,
    configuration_version: u64,
    /// Revision of the store that the known backend servers correspond to.
    servers_as_of: u64,
    /// Time from the arrival of the request to its response, in milliseconds.
    took_ms: u64,
}

/// One attempt of a request at a backend server.
#[derive(Debug, Deserialize, Serialize)]
struct AttemptRecord {
    server: String,
    availability_zone: String,
    version: String,
    /// Estimated number of requests at the backend server when it was selected.
    load: f64,
    slots: u32,
    /// Whether the backend server was in its cold start.
    cold: bool,
    /// Age of the request at the end of the attempt, in milliseconds.
    ended_ms: u64,
    outcome: String,
}

/// Queries an instance and prints its response.
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
    for attempt in &decision.offers {
        table.add_row([
            attempt.server.clone(),
            attempt.availability_zone.clone(),
            attempt.version.clone(),
            format!("{:.1} of {}", attempt.load, attempt.slots),
            if attempt.cold { "yes" } else { "no" }.to_owned(),
            attempt.ended_ms.to_string(),
            attempt.outcome.clone(),
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
