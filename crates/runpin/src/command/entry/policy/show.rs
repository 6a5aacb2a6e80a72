//! `runpin entry policy show`.

use super::record::{StoredRecord, describe};
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;

/// show the set of policies in force and the earlier ones
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {
    /// address of the platform's store, IP:PORT (RUNPIN_STORE)
    #[argh(option)]
    store: Option<SocketAddr>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Reads the record and prints it.
pub(super) async fn run(options: &Show) -> Result<Exit, CommandError> {
    let record = StoredRecord::read(options.store).await?.record;
    let earlier = record.earlier.iter().map(|set| format!("earlier {}", describe(set)));
    let lines: Vec<String> = std::iter::once(describe(&record.current)).chain(earlier).collect();
    options.output.show(&record, lines.join("\n"))?;
    Ok(Exit::Done)
}
