//! `runpin policy rollback`.

use super::edit::{ConfigurationText, PolicyEditError};
use super::{base, put};
use crate::client::Client;
use crate::command::change::ChangeOptions;
use crate::command::config;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use configuration::{Configuration, HISTORY_LENGTH, Manifest, ManifestError};
use std::net::SocketAddr;
use std::sync::Arc;

/// bring an earlier program of a policy back, as a new version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(super) struct PolicyRollback {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of the version that this change replaces
    #[argh(option)]
    expect_version: Option<u64>,
    /// check only, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// number of the version whose program it gets; default the last one with another program
    #[argh(option)]
    to: Option<u64>,
    /// name of the policy
    #[argh(positional)]
    name: String,
}

/// Gives the policy the program that it had before.
pub(super) async fn run(options: PolicyRollback) -> Result<Exit, CommandError> {
    let change = ChangeOptions {
        instances: options.instance,
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    let base = base(&change).await?;
    let client = Client::for_reading(&change.instances)?;
    let name = &options.name;
    let now = required_program(&base, name)?;
    let program = match options.to {
        Some(number) => {
            let earlier = config::fetch_manifest(&client, Some(number)).await?;
            required_program(&earlier, name)?
        }
        None => last_other_program(&client, &base, name, &now).await?,
    };
    let mut text: ConfigurationText = base.text.parse()?;
    text.set_program(name, &program)?;
    put(&change, &base, text).await
}

fn program(manifest: &Manifest, name: &str) -> Result<Option<Arc<str>>, ManifestError> {
    let configuration: Configuration = manifest.text.parse()?;
    let policies = configuration.policies.into_iter();
    Ok(policies.filter(|policy| *policy.name == *name).map(|policy| policy.program).next())
}

fn required_program(manifest: &Manifest, name: &str) -> Result<Arc<str>, CommandError> {
    let unknown = || PolicyEditError::UnknownPolicy {
        version: format!("version {}", manifest.number),
        name: name.to_owned(),
    };
    Ok(program(manifest, name)?.ok_or_else(unknown)?)
}

async fn last_other_program(
    client: &Client,
    base: &Manifest,
    name: &str,
    now: &Arc<str>,
) -> Result<Arc<str>, CommandError> {
    let oldest = base.number.saturating_sub(HISTORY_LENGTH).max(1);
    for number in (oldest..base.number).rev() {
        let manifest = match config::fetch_manifest(client, Some(number)).await {
            Err(CommandError::Refused { status: 404, .. }) => break,
            manifest => manifest?,
        };
        if let Some(program) = program(&manifest, name)?.filter(|program| program != now) {
            return Ok(program);
        }
    }
    Err(PolicyEditError::NothingEarlier(name.to_owned()).into())
}
