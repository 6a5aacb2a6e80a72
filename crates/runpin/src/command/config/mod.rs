//! `runpin config`: checks, compares, applies and shows the configuration.

mod apply;
mod check;
mod diff;
mod get;
mod history;

use super::file::read_file;
use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use argh::FromArgs;
use configuration::{Configuration, Manifest};
use std::path::Path;

/// Path of the manifest in force.
pub(super) const CONFIGURATION_PATH: &str = "/v1/configuration";

/// check, compare, apply and show the configuration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    #[argh(subcommand)]
    command: ConfigCommand,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ConfigCommand {
    Check(check::ConfigCheck),
    Get(get::ConfigGet),
    Diff(diff::ConfigDiff),
    History(history::ConfigHistory),
    Apply(apply::ConfigApply),
}

/// Runs one of the subcommands.
pub(crate) async fn run(options: Config) -> Result<Exit, CommandError> {
    match options.command {
        ConfigCommand::Check(options) => check::run(&options),
        ConfigCommand::Get(options) => get::run(&options).await,
        ConfigCommand::Diff(options) => diff::run(&options).await,
        ConfigCommand::History(options) => history::run(&options).await,
        ConfigCommand::Apply(options) => apply::run(options).await,
    }
}

/// Reads and validates a configuration file; returns its text too.
fn read_configuration(path: &Path) -> Result<(String, Configuration), CommandError> {
    let text = read_file(path)?;
    let configuration = text
        .parse()
        .map_err(|source| CommandError::Configuration { path: path.to_owned(), source })?;
    Ok((text, configuration))
}

/// Fetches the manifest of a version from the first instance that responds; without `number`, that
/// of the version in force.
pub(super) async fn fetch_manifest(
    client: &Client,
    number: Option<u64>,
) -> Result<Manifest, CommandError> {
    match number {
        Some(number) => client.read(&format!("{CONFIGURATION_PATH}?number={number}")).await,
        None => client.read(CONFIGURATION_PATH).await,
    }
}
