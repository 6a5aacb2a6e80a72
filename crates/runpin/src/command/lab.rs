//! `runpin lab`.

use crate::error::CommandError;
use crate::exit::Exit;
use crate::output::print;
use argh::FromArgs;
use lab::{
    BackendOptions, Experiment, MockBackendServer, MockPlatform, RunOptions, RunRecord,
    serve_platform,
};
use platform::{InstanceEntry, InstanceState};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpListener;

/// run experiments and stand-ins on loopback
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lab")]
pub(crate) struct Lab {
    #[argh(subcommand)]
    command: LabCommand,
}

/// What to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LabCommand {
    Run(LabRun),
    Platform(LabPlatform),
    Backend(LabBackend),
}

/// run an experiment and show its table
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct LabRun {
    /// file of the experiment
    #[argh(positional)]
    experiment: PathBuf,
    /// seed of callers and backend servers; default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the run in seconds, in place of the experiment's
    #[argh(option)]
    duration_s: Option<u64>,
    /// file to write the report to, as JSON
    #[argh(option)]
    report: Option<PathBuf>,
}

/// serve a stand-in of the platform until interrupted
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct LabPlatform {
    /// address to listen on, IP:PORT
    #[argh(option)]
    listen: SocketAddr,
    /// an entry instance, NAME,ZONE,CALLER_ADDRESS,PEER_ADDRESS; may be repeated
    #[argh(option)]
    entry: Vec<String>,
}

/// serve a stand-in of a backend server until interrupted
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
struct LabBackend {
    /// address to listen on, IP:PORT
    #[argh(option)]
    listen: SocketAddr,
    /// mean service time in milliseconds; default 10
    #[argh(option, default = "10.0")]
    mean_service_ms: f64,
    /// requests run at once; default 6
    #[argh(option, default = "6")]
    slots: u32,
}

/// Runs one of the subcommands.
pub(crate) async fn run(options: Lab) -> Result<Exit, CommandError> {
    match options.command {
        LabCommand::Run(options) => run_experiment(options).await,
        LabCommand::Platform(options) => run_platform(options).await,
        LabCommand::Backend(options) => run_backend(options).await,
    }
}

async fn run_experiment(options: LabRun) -> Result<Exit, CommandError> {
    let experiment = Experiment::read(&options.experiment)?;
    let run_options = RunOptions { seed: options.seed, duration_s: options.duration_s };
    let report = lab::run(&experiment, run_options, show_progress).await?;
    show_progress(String::new());
    print(format_args!("\n{report}"));
    if let Some(path) = options.report {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(&path, text).map_err(|source| CommandError::File { path, source })?;
    }
    Ok(if report.has_violations() { Exit::Failed } else { Exit::Done })
}

/// Overwrites the progress line on standard error; 76 columns hide the previous line.
fn show_progress(line: String) {
    // A write error must not abort the run.
    let _ = write!(std::io::stderr(), "\r{line:76}");
}

async fn run_platform(options: LabPlatform) -> Result<Exit, CommandError> {
    let platform = Arc::new(MockPlatform::default());
    let entries = options.entry.iter().map(|text| parse_entry(text));
    platform.set_entry_instances(entries.collect::<Result<_, _>>()?);
    let address = options.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| CommandError::Listen { address, source })?;
    print(format_args!("platform on {}", listener.local_addr()?));
    serve_platform(listener, platform).await;
    Ok(Exit::Done)
}

fn parse_entry(text: &str) -> Result<InstanceEntry, CommandError> {
    let invalid = || CommandError::InvalidEntry(text.to_owned());
    let parts: Vec<&str> = text.split(',').collect();
    let [name, zone, caller_address, peer_address] = parts[..] else { return Err(invalid()) };
    Ok(InstanceEntry {
        name: name.into(),
        availability_zone: zone.into(),
        caller_address: caller_address.parse().map_err(|_| invalid())?,
        peer_address: peer_address.parse().map_err(|_| invalid())?,
        state: InstanceState::Live,
    })
}

async fn run_backend(options: LabBackend) -> Result<Exit, CommandError> {
    let address = options.listen;
    let backend_options =
        BackendOptions { slots: options.slots, mean_service_ms: options.mean_service_ms, seed: 1 };
    let backend = MockBackendServer::start_on(address, backend_options, RunRecord::default())
        .await
        .map_err(|source| CommandError::Listen { address, source })?;
    print(format_args!("backend server on {}", backend.address));
    tokio::signal::ctrl_c().await?;
    Ok(Exit::Done)
}
