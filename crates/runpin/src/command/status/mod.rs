//! `runpin status`.

mod instance_state;
mod routing;

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use instance_state::{Adoption, Ledger, Membership, Shares};
use routing::{BackendServer, Routing};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Path of the status of an instance.
pub(super) const STATUS_PATH: &str = "/v1/status";

/// Shown in place of a value that the instance does not have.
const UNKNOWN: &str = "unknown";

/// show what instances know: versions, look-ups, drains, sites, shares, arms and what is in flight
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// address for operators of an instance, IP:PORT; each one named is asked (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// The fields of an instance's status that the command line uses.
#[derive(Debug, Deserialize)]
pub(super) struct Status {
    pub(super) instance: InstanceStatus,
    pub(super) configuration: Option<ConfigurationStatus>,
    #[serde(default)]
    entry_instances: Vec<MemberStatus>,
    #[serde(default)]
    pub(super) drains: Vec<DrainStatus>,
    #[serde(default)]
    sites: Vec<SiteStatus>,
    #[serde(default)]
    backend_servers: Vec<BackendServer>,
    adoption: Option<Adoption>,
    shares: Option<Shares>,
    routing: Option<Routing>,
    membership: Option<Membership>,
    ledger: Option<Ledger>,
}

#[derive(Debug, Deserialize)]
pub(super) struct InstanceStatus {
    pub(super) name: String,
    availability_zone: String,
    state: String,
    requests_in_flight: u64,
    software_version: String,
}

#[derive(Debug, Deserialize)]
pub(super) struct ConfigurationStatus {
    name: String,
    pub(super) number: u64,
    author: String,
}

#[derive(Debug, Deserialize)]
struct MemberStatus {
    name: String,
    availability_zone: String,
    caller_address: SocketAddr,
    usable: bool,
    drained: bool,
}

/// A drain, and the requests that the instance still has in flight under it.
#[derive(Debug, Deserialize)]
pub(super) struct DrainStatus {
    pub(super) kind: String,
    pub(super) name: String,
    /// `None` for a drain of another entry instance, whose requests are not known.
    pub(super) requests_in_flight: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct SiteStatus {
    service: String,
    availability_zone: String,
    backend_servers: u64,
    capacity_slots: u64,
    requests_in_flight: u64,
}

/// Status of one instance, or the error of the request for it.
#[derive(Debug, Serialize)]
struct InstanceResponse {
    instance: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Queries every instance and prints the responses.
///
/// # Errors
///
/// Fails with the first error if no instance responds.
pub(crate) async fn run(options: StatusCommand) -> Result<Exit, CommandError> {
    let client = Client::for_reading(&options.instance)?;
    let mut responses = Vec::new();
    let mut text = String::new();
    let mut first_error = None;
    for instance in client.instances().iter().copied() {
        match client.read_one::<Value>(instance, STATUS_PATH).await {
            Ok(status) => {
                text.push_str(&describe(&Status::deserialize(&status)?));
                responses.push(InstanceResponse { instance, status: Some(status), error: None });
            }
            Err(error) => {
                // Writing to a string can't fail.
                let _ = writeln!(text, "{error}");
                responses.push(InstanceResponse {
                    instance,
                    status: None,
                    error: Some(error.to_string()),
                });
                first_error = first_error.or(Some(error));
            }
        }
    }
    match first_error {
        Some(error) if responses.iter().all(|response| response.status.is_none()) => Err(error),
        first_error => {
            options.output.show(&responses, text.trim_end())?;
            Ok(if first_error.is_some() { Exit::Failed } else { Exit::Done })
        }
    }
}

fn describe(status: &Status) -> String {
    let instance = &status.instance;
    let mut text = format!(
        "instance {} in {}: {}, {} requests in flight, runpind {}\n",
        instance.name,
        instance.availability_zone,
        instance.state,
        instance.requests_in_flight,
        instance.software_version
    );
    match &status.configuration {
        Some(version) => text.push_str(&format!(
            "configuration {} version {} by {}\n",
            version.name, version.number, version.author
        )),
        None => text.push_str("no configuration is known\n"),
    }
    for line in summary_lines(status) {
        text.push_str(&format!("{line}\n"));
    }
    let tables = [
        Some(entry_instances(status)),
        Some(drains(status)),
        Some(sites(status)),
        status.shares.as_ref().map(Shares::table),
        status.routing.as_ref().map(Routing::arms_table),
        Some(routing::non_live_servers(&status.backend_servers)),
    ];
    for table in tables.iter().flatten().filter(|table| !table.is_empty()) {
        text.push_str(&format!("\n{table}\n"));
    }
    for failure in status.routing.iter().flat_map(Routing::policy_failures) {
        text.push_str(&format!("\n{failure}\n"));
    }
    text.push('\n');
    text
}

/// Returns the parts of the status that take one line each.
fn summary_lines(status: &Status) -> Vec<String> {
    let adoption = status.adoption.iter().flat_map(Adoption::summary_lines);
    let shares = status.shares.iter().map(Shares::summary_line);
    let membership = status.membership.iter().flat_map(Membership::summary_lines);
    let servers = [routing::describe_states(&status.backend_servers)];
    let ledger = status.ledger.iter().map(Ledger::summary_line);
    adoption.chain(shares).chain(membership).chain(servers).chain(ledger).collect()
}

fn entry_instances(status: &Status) -> Table {
    let mut table = Table::new([
        "ENTRY INSTANCE",
        "AVAILABILITY ZONE",
        "FOR CALLERS",
        "IN LOOK-UPS",
        "STATE",
        "HEARD",
    ]);
    for member in &status.entry_instances {
        let in_lookups = match (member.usable, member.drained) {
            (_, true) => "no, drained",
            (true, false) => "yes",
            (false, false) => "no",
        };
        let entry =
            status.membership.as_ref().and_then(|membership| membership.member(&member.name));
        table.add_row([
            member.name.clone(),
            member.availability_zone.clone(),
            member.caller_address.to_string(),
            in_lookups.to_owned(),
            entry.map(|entry| entry.state.clone()).unwrap_or_default(),
            format_age(entry.and_then(|entry| entry.age_ms)),
        ]);
    }
    table
}

fn drains(status: &Status) -> Table {
    let mut table = Table::new(["DRAINED", "NAME", "IN FLIGHT"]);
    for drain in &status.drains {
        let in_flight = drain.requests_in_flight.map(|requests| requests.to_string());
        let in_flight = in_flight.unwrap_or_else(|| "ask it".to_owned());
        table.add_row([drain.kind.clone(), drain.name.clone(), in_flight]);
    }
    table
}

fn sites(status: &Status) -> Table {
    let mut table = Table::new([
        "SERVICE",
        "AVAILABILITY ZONE",
        "BACKEND SERVERS",
        "SLOTS",
        "IN FLIGHT HERE",
        "FREE SLOTS",
        "AGE OF FIGURES",
    ]);
    for site in &status.sites {
        let routing = status.routing.as_ref();
        let figures = routing
            .and_then(|routing| routing.site_figures(&site.service, &site.availability_zone));
        let free_slots = figures.and_then(|figures| figures.headroom_slots);
        table.add_row([
            site.service.clone(),
            site.availability_zone.clone(),
            site.backend_servers.to_string(),
            site.capacity_slots.to_string(),
            site.requests_in_flight.to_string(),
            free_slots.map_or_else(|| UNKNOWN.to_owned(), |slots| format!("{slots:.1}")),
            format_age(figures.and_then(|figures| figures.age_ms.map(|age_ms| age_ms as u64))),
        ]);
    }
    table
}

/// Formats an age in milliseconds.
fn format_age(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(|| UNKNOWN.to_owned(), |age_ms| format!("{age_ms} ms"))
}
