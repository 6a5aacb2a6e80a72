//! `runpin policy apply`.

use super::edit::{ArmChange, ConfigurationText, PolicyEditError};
use super::{apply_text, fetch_base};
use crate::command::change::ChangeOptions;
use crate::command::file::read_file;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// give a policy a program, and arms their policies and shares
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct PolicyApply {
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
    /// an arm as ARM=POLICY:PERCENT, ARM=POLICY:shadow or ARM=none; may be repeated
    #[argh(option)]
    arm: Vec<String>,
    /// name of the policy; default the file's name without its ending
    #[argh(option)]
    name: Option<String>,
    /// file with the policy's program; none to change arms only
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// Changes a policy and arms in the configuration in force, and sends it as a new version.
pub(super) async fn run(options: PolicyApply) -> Result<Exit, CommandError> {
    let arms = options.arm.iter().map(|arm| arm.parse());
    let arms = arms.collect::<Result<Vec<ArmChange>, PolicyEditError>>()?;
    if options.file.is_none() && arms.is_empty() {
        return Err(PolicyEditError::NoChange.into());
    }
    let program = options.file.as_deref().map(read_file).transpose()?;
    let stem = options.file.as_deref().and_then(|file| file.file_stem());
    let name = options.name.or_else(|| stem.map(|stem| stem.to_string_lossy().into_owned()));
    let change = ChangeOptions {
        instances: options.instance,
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    let base = fetch_base(&change).await?;
    let mut text: ConfigurationText = base.text.parse()?;
    if let (Some(name), Some(program)) = (&name, &program) {
        text.set_program(name, program)?;
    }
    arms.iter().try_for_each(|arm| text.change_arm(arm))?;
    apply_text(&change, &base, text).await
}
