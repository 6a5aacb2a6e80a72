//! `runpin config check`.

use super::read_configuration;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use configuration::Configuration;
use serde::Serialize;
use std::path::PathBuf;

/// check a configuration file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct ConfigCheck {
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Number of objects in a configuration.
#[derive(Debug, Serialize)]
struct Summary<'a> {
    name: &'a str,
    services: usize,
    availability_zones: usize,
    backend_servers: usize,
    client_blocks: usize,
}

/// Validates a file and prints a summary of its contents.
pub(super) fn run(options: &ConfigCheck) -> Result<Exit, CommandError> {
    let (_, configuration) = read_configuration(&options.file)?;
    let summary = Summary {
        name: &configuration.name,
        services: configuration.services.len(),
        availability_zones: configuration.availability_zones.len(),
        backend_servers: count_backend_servers(&configuration),
        client_blocks: configuration.client_blocks.len(),
    };
    let text = format!(
        "{}: {} services, {} availability zones, {} backend servers, {} client blocks",
        summary.name,
        summary.services,
        summary.availability_zones,
        summary.backend_servers,
        summary.client_blocks
    );
    options.output.show(&summary, text)?;
    Ok(Exit::Done)
}

fn count_backend_servers(configuration: &Configuration) -> usize {
    let sites = configuration.services.iter().flat_map(|service| &service.sites);
    sites.map(|site| site.backend_servers.len()).sum()
}
