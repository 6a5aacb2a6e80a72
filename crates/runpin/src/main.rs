//! The `runpin` binary: the operators' command line.

mod client;
mod command;
mod dispatch;
mod error;
mod exit;
mod options;
mod output;
mod table;

use argh::{EarlyExit, FromArgs};
use error::CommandError;
use exit::Exit;
use options::Options;
use output::print;
use std::process::ExitCode;

/// Name of the command in usage texts.
const COMMAND_NAME: &str = "runpin";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let options = match Options::from_args(&[COMMAND_NAME], &arguments) {
        Ok(options) => options,
        Err(early_exit) => return print_usage(&early_exit),
    };
    match dispatch::run(options) {
        Ok(exit) => exit.into(),
        Err(error) => report_error(&error),
    }
}

/// Prints the requested help, or what is wrong with the arguments.
fn print_usage(early_exit: &EarlyExit) -> ExitCode {
    match early_exit.status {
        Ok(()) => {
            print(early_exit.output.trim_end());
            Exit::Done.into()
        }
        Err(()) => {
            print_error(&early_exit.output);
            Exit::WrongUsage.into()
        }
    }
}

fn report_error(error: &CommandError) -> ExitCode {
    print_error(&error.to_string());
    error.exit().into()
}

#[expect(clippy::print_stderr, reason = "the only place that prints errors")]
fn print_error(message: &str) {
    eprintln!("runpin: {}", message.trim_end());
}
