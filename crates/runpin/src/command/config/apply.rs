//! `runpin config apply`.

use super::{CONFIGURATION_PATH, read_configuration};
use crate::command::change::ChangeOptions;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use std::net::SocketAddr;
use std::path::PathBuf;

/// make a configuration file the next version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct ConfigApply {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of the version that it replaces, 0 for the first one
    #[argh(option)]
    expect_version: Option<u64>,
    /// check only, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Validates the file and sends it as the next version.
pub(super) async fn run(options: ConfigApply) -> Result<Exit, CommandError> {
    let (text, _) = read_configuration(&options.file)?;
    let change = ChangeOptions {
        instances: options.instance,
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    change.send(Method::PUT, CONFIGURATION_PATH, Bytes::from(text)).await?;
    Ok(Exit::Done)
}
