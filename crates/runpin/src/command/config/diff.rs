//! `runpin config diff`.

use super::{fetch_manifest, read_configuration};
use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use serde::Serialize;
use similar::TextDiff;
use std::net::SocketAddr;
use std::path::PathBuf;

/// compare a configuration file with the version in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(super) struct ConfigDiff {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Difference between a file and the version in force.
#[derive(Debug, Serialize)]
struct Difference {
    /// Number of the version in force.
    number: u64,
    /// Whether the texts are equal.
    same: bool,
    /// The changes as a unified diff.
    diff: String,
}

/// Prints what applying the file would change.
pub(super) async fn run(options: &ConfigDiff) -> Result<Exit, CommandError> {
    let (text, _) = read_configuration(&options.file)?;
    let client = Client::for_reading(&options.instance)?;
    let manifest = fetch_manifest(&client, None).await?;
    let in_force = format!("version {}", manifest.number);
    let file = options.file.display().to_string();
    let diff = TextDiff::from_lines(&*manifest.text, text.as_str());
    let diff = diff.unified_diff().header(&in_force, &file).to_string();
    let difference = Difference { number: manifest.number, same: diff.is_empty(), diff };
    let shown = match difference.same {
        true => format!("{file} is the same as {in_force}"),
        false => difference.diff.trim_end().to_owned(),
    };
    options.output.show(&difference, shown)?;
    Ok(Exit::Done)
}
