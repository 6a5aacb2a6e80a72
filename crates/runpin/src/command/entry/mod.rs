//! `runpin entry`: state, decisions and policies of an instance on the users' platform.

mod customer;
mod explain;
mod policy;
mod rollout;
mod status;
mod terms;

use crate::error::CommandError;
use crate::exit::Exit;
use argh::FromArgs;
use customer::Customer;
use explain::Explain;
use policy::Policy;
use rollout::Rollout;
use status::Status;
use terms::Terms;

/// ask an instance on the users' platform, on its address for operators, and change its policies
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
    Customer(Customer),
    Explain(Explain),
    Policy(Policy),
    Rollout(Rollout),
    Terms(Terms),
}

/// Runs the subcommand.
pub(crate) async fn run(options: Entry) -> Result<Exit, CommandError> {
    match options.command {
        Command::Status(options) => status::run(options).await,
        Command::Customer(options) => customer::run(options).await,
        Command::Explain(options) => explain::run(options).await,
        Command::Policy(options) => policy::run(options).await,
        Command::Rollout(options) => rollout::run(options).await,
        Command::Terms(options) => terms::run(options).await,
    }
}
