//! `runpin entry policy`: routing policies of the instances on the users' platform.

mod apply;
mod record;
mod rollback;
mod show;

use crate::client::Client;
use crate::command::policy::compare::{PolicyCompare, compare_at};
use crate::error::CommandError;
use crate::exit::Exit;
use argh::FromArgs;

/// show, change and compare the policies in the platform's store
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub(super) struct Policy {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Show(show::Show),
    Apply(apply::Apply),
    Rollback(rollback::Rollback),
    Compare(PolicyCompare),
}

/// Runs the subcommand.
pub(super) async fn run(options: Policy) -> Result<Exit, CommandError> {
    match options.command {
        Command::Show(options) => show::run(&options).await,
        Command::Apply(options) => apply::run(&options).await,
        Command::Rollback(options) => rollback::run(&options).await,
        Command::Compare(options) => {
            compare_at(&Client::without_token(&options.instance)?, &options).await
        }
    }
}
