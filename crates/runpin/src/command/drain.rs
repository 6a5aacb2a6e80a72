//! `runpin drain` and `runpin undrain`.

use super::change::ChangeOptions;
use super::status::{STATUS_PATH, Status};
use crate::client::Client;
use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::{Output, print};
use argh::FromArgs;
use bytes::Bytes;
use configuration::Drain;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the number of requests in flight is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// take new work away from an entry instance, an availability zone or a backend server
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainCommand {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of the version that this change replaces
    #[argh(option)]
    expect_version: Option<u64>,
    /// check only, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// longest wait in seconds for what is in flight at the instances named; default 0
    #[argh(option, default = "0")]
    wait_s: u64,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// what it is: `instance`, `availability-zone` or `backend-server`
    #[argh(positional)]
    kind: String,
    /// name of the instance or availability zone, or address of the backend server
    #[argh(positional)]
    name: String,
}

/// give work again to what was drained
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub(crate) struct UndrainCommand {
    /// address for operators of an instance, IP:PORT; may be repeated (RUNPIN_INSTANCE)
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// number of the version that this change replaces
    #[argh(option)]
    expect_version: Option<u64>,
    /// check only, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// form of the result, `text` or `json`; default `text`
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// what it is: `instance`, `availability-zone` or `backend-server`
    #[argh(positional)]
    kind: String,
    /// name of the instance or availability zone, or address of the backend server
    #[argh(positional)]
    name: String,
}

/// Starts a drain, and waits for the requests in flight if requested.
pub(crate) async fn run(options: DrainCommand) -> Result<Exit, CommandError> {
    let drain = Drain::parse(&options.kind, &options.name)?;
    let change = ChangeOptions {
        instances: options.instance.clone(),
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    let response = change.send(Method::PUT, &drain_path(&drain), Bytes::new()).await?;
    if options.dry_run || options.wait_s == 0 {
        return Ok(Exit::Done);
    }
    let deadline = Instant::now() + Duration::from_secs(options.wait_s);
    let client = Client::for_reading(&options.instance)?;
    wait_until_idle(&client, &drain, response.number, deadline, options.output).await
}

/// Ends a drain.
pub(crate) async fn run_undrain(options: UndrainCommand) -> Result<Exit, CommandError> {
    let drain = Drain::parse(&options.kind, &options.name)?;
    let change = ChangeOptions {
        instances: options.instance,
        expect_version: options.expect_version,
        dry_run: options.dry_run,
        output: options.output,
    };
    change.send(Method::DELETE, &drain_path(&drain), Bytes::new()).await?;
    Ok(Exit::Done)
}

fn drain_path(drain: &Drain) -> String {
    format!("/v1/drains/{}/{}", drain.kind(), drain.name())
}

/// Prints the progress until no request is in flight or the deadline has passed.
///
/// An instance that cannot be reached, or does not have the version yet, counts as not drained.
async fn wait_until_idle(
    client: &Client,
    drain: &Drain,
    number: u64,
    deadline: Instant,
    output: Output,
) -> Result<Exit, CommandError> {
    let mut last_shown = None;
    loop {
        let current = fetch_progress(client, drain, number).await?;
        if last_shown != Some(current) && output == Output::Text {
            print(current);
        }
        last_shown = Some(current);
        match current {
            Progress { outdated: 0, unreachable: 0, requests_in_flight: 0 } => {
                return Ok(Exit::Done);
            }
            _ if Instant::now() >= deadline => return Ok(Exit::Failed),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Progress of a drain at the instances that the command names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Progress {
    /// Number of instances that do not have the version with the drain in force yet.
    outdated: usize,
    /// Number of instances that do not respond.
    unreachable: usize,
    /// Number of requests in flight from the other instances.
    requests_in_flight: u64,
}

impl std::fmt::Display for Progress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} requests in flight", self.requests_in_flight)?;
        if self.outdated > 0 {
            write!(formatter, ", {} instances don't have the version yet", self.outdated)?;
        }
        if self.unreachable > 0 {
            write!(formatter, ", {} instances don't answer", self.unreachable)?;
        }
        Ok(())
    }
}

async fn fetch_progress(
    client: &Client,
    drain: &Drain,
    number: u64,
) -> Result<Progress, CommandError> {
    let mut total = Progress::default();
    for instance in client.instances().iter().copied() {
        match client.read_one::<Status>(instance, STATUS_PATH).await {
            Ok(status) if !status.has_version(number) => total.outdated += 1,
            Ok(status) => total.requests_in_flight += status.in_flight_under(drain),
            Err(CommandError::Unreachable(_)) => total.unreachable += 1,
            Err(error) => return Err(error),
        }
    }
    Ok(total)
}

impl Status {
    fn has_version(&self, number: u64) -> bool {
        self.configuration.as_ref().is_some_and(|version| version.number >= number)
    }

    /// Returns the number of requests that the instance still has in flight under the drain.
    fn in_flight_under(&self, drain: &Drain) -> u64 {
        self.drains
            .iter()
            .filter(|other| other.kind == drain.kind() && other.name == drain.name())
            .filter_map(|drain| drain.requests_in_flight)
            .sum()
    }
}
