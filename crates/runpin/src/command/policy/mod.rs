//! `runpin policy`: the policies and arms of the configuration.

mod apply;
mod check;
pub(crate) mod compare;
pub(crate) mod edit;
mod list;
mod rollback;

use super::change::ChangeOptions;
use super::config;
use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use argh::FromArgs;
use bytes::Bytes;
use configuration::{Configuration, Manifest};
use edit::{ConfigurationText, PolicyEditError};
use hyper::Method;

/// show, change and compare policies
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub(crate) struct Policy {
    #[argh(subcommand)]
    command: PolicyCommand,
}

/// What to do with policies.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum PolicyCommand {
    List(list::PolicyList),
    Check(check::PolicyCheck),
    Apply(apply::PolicyApply),
    Compare(compare::PolicyCompare),
    Rollback(rollback::PolicyRollback),
}

/// Runs one of the subcommands.
pub(crate) async fn run(options: Policy) -> Result<Exit, CommandError> {
    match options.command {
        PolicyCommand::List(options) => list::run(&options).await,
        PolicyCommand::Check(options) => check::run(&options),
        PolicyCommand::Apply(options) => apply::run(options).await,
        PolicyCommand::Compare(options) => compare::run(&options).await,
        PolicyCommand::Rollback(options) => rollback::run(options).await,
    }
}

/// Fetches the manifest in force, which the change is based on.
///
/// # Errors
///
/// Fails if it does not have the version that the change expects.
async fn fetch_base(options: &ChangeOptions) -> Result<Manifest, CommandError> {
    let client = Client::for_reading(&options.instances)?;
    let manifest = config::fetch_manifest(&client, None).await?;
    match options.expect_version {
        Some(expected) if expected != manifest.number => {
            Err(CommandError::Conflict { expected, current: manifest.number })
        }
        _ => Ok(manifest),
    }
}

/// Validates a changed configuration text and sends it as the version that replaces `base`.
async fn apply_text(
    options: &ChangeOptions,
    base: &Manifest,
    text: ConfigurationText,
) -> Result<Exit, CommandError> {
    let text = text.to_string();
    let _checked: Configuration = text.parse().map_err(PolicyEditError::from)?;
    let options = ChangeOptions { expect_version: Some(base.number), ..options.clone() };
    options.send(Method::PUT, config::CONFIGURATION_PATH, Bytes::from(text)).await?;
    Ok(Exit::Done)
}
