//! `runpin entry policy rollback`.

use super::record::StoredRecord;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;

/// put an earlier set of policies in force again, as a new set
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(super) struct Rollback {
    /// address of the platform's store, IP:PORT (RUNPIN_STORE)
    #[argh(option)]
    store: Option<SocketAddr>,
    /// number of the set that this one replaces
    #[argh(option)]
    expect_number: Option<u64>,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// number of the set to go back to; default the one before
    #[argh(positional)]
    number: Option<u64>,
}

/// Puts the arms of an earlier set in force as a new set.
pub(super) async fn run(options: &Rollback) -> Result<Exit, CommandError> {
    let stored = StoredRecord::read(options.store).await?;
    stored.check_number(options.expect_number)?;
    let mut earlier = stored.record.earlier.iter();
    let found = match options.number {
        Some(number) => earlier.find(|set| set.number == number),
        None => earlier.next(),
    };
    let found = found.ok_or_else(|| CommandError::NoSuchSet {
        kept: stored.record.earlier.iter().map(|set| set.number.to_string()).collect(),
    })?;
    let record = stored.record.with_arms(found.arms.clone())?;
    stored.replace(&record, options.output).await?;
    Ok(Exit::Done)
}
