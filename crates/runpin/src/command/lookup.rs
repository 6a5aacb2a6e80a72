//! `runpin lookup`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// show which instances a caller is told to use
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookup")]
pub(crate) struct Lookup {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// name of the service
    #[argh(option)]
    service: String,
    /// address of the caller; default the instance's own
    #[argh(option)]
    caller: Option<IpAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Response to a look-up.
#[derive(Debug, Deserialize, Serialize)]
struct LookupResponse {
    service: String,
    availability_zone: String,
    instances: Vec<WeightedInstance>,
    ttl_ms: u64,
    idempotency_key_prefix: String,
    configuration_version: u64,
}

/// An instance, and its weight for load balancing.
#[derive(Debug, Deserialize, Serialize)]
struct WeightedInstance {
    address: SocketAddr,
    weight: u32,
}

/// Queries an instance and prints its response.
pub(crate) async fn run(options: Lookup) -> Result<Exit, CommandError> {
    let path = format!("/v1/lookup?{}", lookup_query(&options.service, options.caller)?);
    let client = Client::for_reading(&options.instance)?;
    let response: LookupResponse = client.read(&path).await?;
    options.output.show(&response, describe(&response))?;
    Ok(Exit::Done)
}

/// Returns the query string for a service and an optional caller.
///
/// # Errors
///
/// Fails if the name of the service is empty or has invalid characters.
pub(super) fn lookup_query(service: &str, caller: Option<IpAddr>) -> Result<String, CommandError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    if service.is_empty() || !service.chars().all(allowed) {
        return Err(CommandError::InvalidName { flag: "service", value: service.to_owned() });
    }
    let caller = caller.map(|caller| format!("&caller={caller}")).unwrap_or_default();
    Ok(format!("service={service}{caller}"))
}

fn describe(response: &LookupResponse) -> String {
    let mut instances = Table::new(["INSTANCE", "WEIGHT"]);
    for instance in &response.instances {
        instances.add_row([instance.address.to_string(), instance.weight.to_string()]);
    }
    format!(
        "service {}, nearest availability zone {}, for {} ms, configuration version {}\n{instances}",
        response.service,
        response.availability_zone,
        response.ttl_ms,
        response.configuration_version
    )
}
