//! `runpin policy rollback`.

use super::edit::{ConfigurationText, PolicyEditError};
use super::{apply_text, fetch_base};
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

/// Restores an earlier program of the policy, as a new version.
pub(super) async fn run(options: PolicyRollback) -> Result<Exit, CommandError> {
    let change = ChangeOptions {
        instances: options.instance,
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    let base = fetch_base(&change).await?;
    let client = Client::for_reading(&change.instances)?;
    let name = &options.name;
    let current_program = required_program(&base, name)?;
    let program = match options.to {
        Some(number) => {
            let earlier = config::fetch_manifest(&client, Some(number)).await?;
            required_program(&earlier, name)?
        }
        None => previous_program(&client, &base, name, &current_program).await?,
    };
    let mut text: ConfigurationText = base.text.parse()?;
    text.set_program(name, &program)?;
    apply_text(&change, &base, text).await
}

/// Returns the program of a policy, if the manifest has the policy.
fn find_program(manifest: &Manifest, name: &str) -> Result<Option<Arc<str>>, ManifestError> {
    let configuration: Configuration = manifest.text.parse()?;
    let policies = configuration.policies.into_iter();
    Ok(policies.filter(|policy| *policy.name == *name).map(|policy| policy.program).next())
}

/// Returns the program of a policy, or an error if the manifest does not have the policy.
fn required_program(manifest: &Manifest, name: &str) -> Result<Arc<str>, CommandError> {
    let unknown = || PolicyEditError::UnknownPolicy {
        version: format!("version {}", manifest.number),
        name: name.to_owned(),
    };
    Ok(find_program(manifest, name)?.ok_or_else(unknown)?)
}

/// Returns the most recent earlier program of a policy that differs from the current one.
async fn previous_program(
    client: &Client,
    base: &Manifest,
    name: &str,
    current_program: &Arc<str>,
) -> Result<Arc<str>, CommandError> {
    let oldest = base.number.saturating_sub(HISTORY_LENGTH).max(1);
    for number in (oldest..base.number).rev() {
        let manifest = match config::fetch_manifest(client, Some(number)).await {
            Err(CommandError::Refused { status: 404, .. }) => break,
            manifest => manifest?,
        };
        if let Some(program) =
            find_program(&manifest, name)?.filter(|program| program != current_program)
        {
            return Ok(program);
        }
    }
    Err(PolicyEditError::NoEarlierProgram(name.to_owned()).into())
}
