//! `runpin config history`.

use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use crate::table::Table;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

/// show the last accepted versions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(super) struct ConfigHistory {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of versions to show; default 10
    #[argh(option, default = "10")]
    limit: u64,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Response with the accepted versions, newest first.
#[derive(Debug, Deserialize, Serialize)]
struct History {
    versions: Vec<HistoryEntry>,
}

/// An accepted version.
#[derive(Debug, Deserialize, Serialize)]
struct HistoryEntry {
    number: u64,
    author: String,
    /// Time of acceptance, in seconds since the Unix epoch.
    applied_at_s: u64,
    text_bytes: u64,
    drains: u64,
}

/// Prints the most recently accepted versions, newest first.
pub(super) async fn run(options: &ConfigHistory) -> Result<Exit, CommandError> {
    let client = Client::for_reading(&options.instance)?;
    let path = format!("/v1/configuration/history?limit={}", options.limit);
    let history: History = client.read(&path).await?;
    let mut table = Table::new(["VERSION", "APPLIED", "BY", "TEXT BYTES", "DRAINS"]);
    for entry in &history.versions {
        let applied = UNIX_EPOCH + Duration::from_secs(entry.applied_at_s);
        table.add_row([
            entry.number.to_string(),
            humantime::format_rfc3339_seconds(applied).to_string(),
            entry.author.clone(),
            entry.text_bytes.to_string(),
            entry.drains.to_string(),
        ]);
    }
    options.output.show(&history, table)?;
    Ok(Exit::Done)
}
