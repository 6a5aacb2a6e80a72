//! The subcommands, one in each file.

mod config;
mod lab;
mod lookup;

use crate::error::CommandError;
use crate::options::{Command, Options};
use std::path::Path;
use std::process::ExitCode;

/// Runs the command and returns the exit code.
pub(crate) fn run(options: Options) -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match options.command {
            Command::Lookup(options) => lookup::run(options).await,
            Command::Config(options) => config::run(options).await,
            Command::Lab(options) => lab::run(options).await,
        }
    })
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })
}

#[expect(clippy::print_stdout, reason = "the one place that prints results")]
fn print(text: impl std::fmt::Display) {
    println!("{text}");
}
