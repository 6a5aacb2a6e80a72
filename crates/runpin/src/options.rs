//! Command-line options: the list of subcommands.

use crate::command::config::Config;
use crate::command::drain::{DrainCommand, UndrainCommand};
use crate::command::entry::Entry;
use crate::command::explain::Explain;
use crate::command::lab::Lab;
use crate::command::lookup::Lookup;
use crate::command::policy::Policy;
use crate::command::status::StatusCommand;
use argh::FromArgs;

/// Operates runpin: status, configuration, policies, drains and experiments.
///
/// Exit codes: 0 done, 1 failed or a violation seen, 2 wrong usage or input, 3 conflict with another
/// version, 4 nothing could be asked, 5 token missing or wrong, 6 unsure whether a change was accepted.
#[derive(Debug, FromArgs)]
pub(crate) struct Options {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Lookup(Lookup),
    Entry(Entry),
    Explain(Explain),
    Status(StatusCommand),
    Config(Config),
    Policy(Policy),
    Drain(DrainCommand),
    Undrain(UndrainCommand),
    Lab(Lab),
}
