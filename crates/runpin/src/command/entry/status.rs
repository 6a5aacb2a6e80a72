//! `runpin entry status`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// show what an instance knows, and how new it is
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// State of an instance.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceStatus {
    name: String,
    availability_zone: String,
    state: String,
    configuration_version: u64,
    configuration_as_of: u64,
    servers_as_of: u64,
    evacuations_as_of: u64,
    policies_number: u64,
    arms: Vec<String>,
    backend_servers: usize,
    evacuated: Vec<String>,
    instances: Vec<String>,
    /// Whether this instance watches the store itself, rather than receiving updates from others.
    follows_store: bool,
    reaches_store: bool,
    /// Time for which no backend server has been reached, in milliseconds.
    #[serde(default)]
    cut_off_ms: Option<u64>,
    /// Services of which none is reached while others are.
    #[serde(default)]
    unreached_services: Vec<String>,
    /// Known instances that reach no backend server, this one included.
    #[serde(default)]
    cut_off_instances: usize,
    in_flight: usize,
    held_back: Vec<HeldBack>,
    server_conditions: Vec<ServerCondition>,
    limited_customers: Vec<String>,
    /// Fraction of the movable requests that goes to other regions, by service.
    moved_shares: BTreeMap<String, f64>,
}

/// A request that is refused because backend servers ended while they processed it.
#[derive(Debug, Deserialize, Serialize)]
struct HeldBack {
    fingerprint: String,
    /// Number of backend servers that ended while they processed it.
    ended: usize,
}

/// Condition that a backend server reported in its responses.
#[derive(Debug, Deserialize, Serialize)]
struct ServerCondition {
    server: String,
    limit_per_s: Option<f64>,
    is_leaving: bool,
    /// Remaining time for which the backend server asked for no requests, in milliseconds.
    rests_ms: u64,
}

impl Display for ServerCondition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let limit = self
            .limit_per_s
            .map(|per_s| format!("takes {per_s:.1} requests a second from all instances together"));
        let leaves = self.is_leaving.then(|| "leaves".to_owned());
        let rests = (self.rests_ms > 0).then(|| format!("wants rest for {} ms", self.rests_ms));
        let parts: Vec<String> = [limit, leaves, rests].into_iter().flatten().collect();
        formatter.write_str(&parts.join(", "))
    }
}

/// Queries an instance and prints its response.
pub(super) async fn run(options: Status) -> Result<Exit, CommandError> {
    let client = Client::without_token(&options.instance)?;
    let status: InstanceStatus = client.read("/v1/status").await?;
    options.output.show(&status, describe(&status))?;
    Ok(Exit::Done)
}

fn describe(status: &InstanceStatus) -> String {
    let mut table = Table::new(["WHAT", "VALUE"]);
    let store = match (status.reaches_store, status.follows_store) {
        (false, _) => "out of reach",
        (true, true) => "followed by this instance",
        (true, false) => "followed by others",
    };
    let reach = match (status.cut_off_ms, status.unreached_services.as_slice()) {
        (Some(ms), _) => format!("none for {ms} ms, requests go through other instances"),
        (None, []) => "yes".to_owned(),
        (None, services) => format!("all but those of {}", services.join(", ")),
    };
    let list = |names: &[String]| match names {
        [] => "none".to_owned(),
        names => names.join(", "),
    };
    for (label, value) in [
        ("instance", format!("{} in {}", status.name, status.availability_zone)),
        ("state", status.state.clone()),
        (
            "configuration",
            format!("{} as of {}", status.configuration_version, status.configuration_as_of),
        ),
        ("backend servers", format!("{} as of {}", status.backend_servers, status.servers_as_of)),
        ("evacuated", format!("{} as of {}", list(&status.evacuated), status.evacuations_as_of)),
        ("policies", format!("set {}, arms {}", status.policies_number, list(&status.arms))),
        ("reached servers", reach),
        ("cut off instances", status.cut_off_instances.to_string()),
        ("store", store.to_owned()),
        ("other instances", list(&status.instances)),
        ("limited customers", list(&status.limited_customers)),
        ("in flight", status.in_flight.to_string()),
    ] {
        table.add_row([label.to_owned(), value]);
    }
    for HeldBack { fingerprint, ended } in &status.held_back {
        let value = format!("{fingerprint}, under which {ended} backend servers ended");
        table.add_row(["held back".to_owned(), value]);
    }
    for condition in &status.server_conditions {
        table.add_row([format!("backend server {}", condition.server), condition.to_string()]);
    }
    for (service, share) in &status.moved_shares {
        let value = format!("{:.0} % go to other regions", share * 100.0);
        table.add_row([format!("service {service}"), value]);
    }
    table.to_string()
}
