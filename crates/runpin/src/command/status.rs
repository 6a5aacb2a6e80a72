//! `runpin status`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

/// Page of an instance's status.
pub(super) const STATUS_PATH: &str = "/v1/status";

/// show what instances know: versions, look-ups, drains, sites and what is in flight
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

/// What an instance says of itself; fields that this command doesn't show are left out.
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

/// A drain and the requests that one instance still has there.
#[derive(Debug, Deserialize)]
pub(super) struct DrainStatus {
    pub(super) kind: String,
    pub(super) name: String,
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

/// One instance's answer, or why there is none.
#[derive(Debug, Serialize)]
struct Answer {
    instance: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Asks each instance named and shows their answers.
pub(super) async fn run(options: StatusCommand) -> Result<Exit, CommandError> {
    let client = Client::for_reading(&options.instance)?;
    let mut answers = Vec::new();
    let mut text = String::new();
    let mut first_error = None;
    for instance in client.instances().iter().copied() {
        match client.read_one::<Value>(instance, STATUS_PATH).await {
            Ok(status) => {
                text.push_str(&describe(&Status::deserialize(&status)?));
                answers.push(Answer { instance, status: Some(status), error: None });
            }
            Err(error) => {
                // Writing to a string can't fail.
                let _ = writeln!(text, "{error}");
                answers.push(Answer { instance, status: None, error: Some(error.to_string()) });
                first_error = first_error.or(Some(error));
            }
        }
    }
    match first_error {
        Some(error) if answers.iter().all(|answer| answer.status.is_none()) => Err(error),
        first_error => {
            options.output.show(&answers, text.trim_end())?;
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
    let tables = [entry_instances(status), drains(status), sites(status)];
    for table in tables.iter().filter(|table| !table.is_empty()) {
        text.push_str(&format!("\n{table}\n"));
    }
    text.push('\n');
    text
}

fn entry_instances(status: &Status) -> Table {
    let mut table =
        Table::new(["ENTRY INSTANCE", "AVAILABILITY ZONE", "FOR CALLERS", "IN LOOK-UPS"]);
    for member in &status.entry_instances {
        let in_lookups = match (member.usable, member.drained) {
            (_, true) => "no, drained",
            (true, false) => "yes",
            (false, false) => "no",
        };
        table.row([
            member.name.clone(),
            member.availability_zone.clone(),
            member.caller_address.to_string(),
            in_lookups.to_owned(),
        ]);
    }
    table
}

fn drains(status: &Status) -> Table {
    let mut table = Table::new(["DRAINED", "NAME", "IN FLIGHT"]);
    for drain in &status.drains {
        let in_flight = drain.requests_in_flight.map(|requests| requests.to_string());
        let in_flight = in_flight.unwrap_or_else(|| "ask it".to_owned());
        table.row([drain.kind.clone(), drain.name.clone(), in_flight]);
    }
    table
}

fn sites(status: &Status) -> Table {
    let mut table =
        Table::new(["SERVICE", "AVAILABILITY ZONE", "BACKEND SERVERS", "SLOTS", "IN FLIGHT HERE"]);
    for site in &status.sites {
        table.row([
            site.service.clone(),
            site.availability_zone.clone(),
            site.backend_servers.to_string(),
            site.capacity_slots.to_string(),
            site.requests_in_flight.to_string(),
        ]);
    }
    table
}
