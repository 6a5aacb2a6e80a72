//! The `runpin` binary: the operators' command line.

mod client;
mod command;
mod error;
mod options;

use options::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match command::run(options) {
        Ok(code) => code,
        Err(report) => fail(&report),
    }
}

#[expect(clippy::print_stderr, reason = "the one place that reports the error that ends the run")]
fn fail(report: &eyre::Report) -> ExitCode {
    eprintln!("runpin: {report:#}");
    ExitCode::FAILURE
}
