//! `runpin entry policy compare`.

use crate::client::Client;
use crate::command::policy::compare::{Question, compare_arms};
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::Output;
use argh::FromArgs;
use std::net::SocketAddr;

/// compare two arms on live traffic at the instances named
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
pub(super) struct Compare {
    /// address for operators of an instance, IP:PORT; each one named is asked (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// time to measure for, in seconds; default 60
    #[argh(option, default = "60.0")]
    duration_s: f64,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// the arm to compare with
    #[argh(positional)]
    base: String,
    /// the arm to be judged
    #[argh(positional)]
    trial: String,
}

/// Measures both arms for a while and shows what differs.
pub(super) async fn run(options: &Compare) -> Result<Exit, CommandError> {
    let Compare { duration_s, output, base, trial, .. } = options;
    let question = Question { duration_s: *duration_s, output: *output, base, trial };
    compare_arms(&Client::without_token(&options.instance)?, &question).await
}
