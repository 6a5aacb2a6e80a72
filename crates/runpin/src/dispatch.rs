//! Runs the subcommand that the options name.

use crate::command::{config, drain, entry, explain, lab, lookup, policy, status};
use crate::error::CommandError;
use crate::exit::Exit;
use crate::options::{Command, Options};

/// Runs the command and returns how it ended.
pub(crate) fn run(options: Options) -> Result<Exit, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match options.command {
            Command::Lookup(options) => lookup::run(options).await,
            Command::Status(options) => status::run(options).await,
            Command::Config(options) => config::run(options).await,
            Command::Drain(options) => drain::run(options).await,
            Command::Undrain(options) => drain::run_undrain(options).await,
            Command::Policy(options) => policy::run(options).await,
            Command::Entry(options) => entry::run(options).await,
            Command::Explain(options) => explain::run(options).await,
            Command::Lab(options) => lab::run(options).await,
        }
    })
}
