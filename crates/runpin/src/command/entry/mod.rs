//! `runpin entry`: what an instance on the users' platform knows and decided.

mod explain;
mod status;

use crate::error::CommandError;
use crate::exit::Exit;
use argh::FromArgs;
use explain::Explain;
use status::Status;

/// ask an instance on the users' platform, on its address for operators and metrics
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(Status),
    Explain(Explain),
}

/// Runs the subcommand.
pub(super) async fn run(options: Entry) -> Result<Exit, CommandError> {
    match options.command {
        Command::Status(options) => status::run(options).await,
        Command::Explain(options) => explain::run(options).await,
    }
}
