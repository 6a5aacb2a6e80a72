//! `runpin config get`.

use super::fetch_manifest;
use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;

/// show the configuration in force, or an earlier version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(super) struct ConfigGet {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of an earlier version; default the one in force
    #[argh(option)]
    number: Option<u64>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Prints the manifest.
pub(super) async fn run(options: &ConfigGet) -> Result<Exit, CommandError> {
    let client = Client::for_reading(&options.instance)?;
    let manifest = fetch_manifest(&client, options.number).await?;
    let drains = manifest.drains.iter().map(|drain| format!("# drained: {drain}\n"));
    let drains: String = drains.collect();
    let text = format!(
        "# version {} by {}\n{drains}{}",
        manifest.number,
        manifest.author,
        manifest.text.trim_end()
    );
    options.output.show(&manifest, text)?;
    Ok(Exit::Done)
}
