//! `runpin lab`.

use super::print;
use crate::error::CommandError;
use crate::options::{Lab, LabBackend, LabCommand, LabPlatform, LabRun};
use lab::{
    BackendOptions, BackendStandIn, Experiment, PlatformStandIn, RunOptions, RunRecord,
    serve_platform,
};
use platform::{InstanceEntry, InstanceState};
use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;

pub(super) async fn run(options: Lab) -> eyre::Result<ExitCode> {
    match options.command {
        LabCommand::Run(options) => run_experiment(options).await,
        LabCommand::Platform(options) => run_platform(options).await,
        LabCommand::Backend(options) => run_backend(options).await,
    }
}

async fn run_experiment(options: LabRun) -> eyre::Result<ExitCode> {
    let experiment = Experiment::read(&options.experiment)?;
    let run_options = RunOptions { seed: options.seed, duration_s: options.duration_s };
    let report = lab::run(&experiment, run_options, show_progress).await?;
    show_progress(String::new());
    print(format_args!("\n{report}"));
    if let Some(path) = options.report {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(&path, text).map_err(|source| CommandError::File { path, source })?;
    }
    Ok(if report.has_violations() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Overwrites the progress line on standard error.
fn show_progress(line: String) {
    // A progress line that can't be shown must not end the run.
    let _ = write!(std::io::stderr(), "\r{line:76}");
}

async fn run_platform(options: LabPlatform) -> eyre::Result<ExitCode> {
    let platform = Arc::new(PlatformStandIn::default());
    let entries = options.entry.iter().map(|text| parse_entry(text));
    platform.set_entry_instances(entries.collect::<Result<_, _>>()?);
    let address = options.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| CommandError::Listen { address, source })?;
    print(format_args!("platform on {}", listener.local_addr()?));
    serve_platform(listener, platform).await;
    Ok(ExitCode::SUCCESS)
}

fn parse_entry(text: &str) -> Result<InstanceEntry, CommandError> {
    let wrong = || CommandError::Entry(text.to_owned());
    let parts: Vec<&str> = text.split(',').collect();
    let [name, zone, caller_address, peer_address] = parts[..] else { return Err(wrong()) };
    Ok(InstanceEntry {
        name: name.into(),
        availability_zone: zone.into(),
        caller_address: caller_address.parse().map_err(|_| wrong())?,
        peer_address: peer_address.parse().map_err(|_| wrong())?,
        state: InstanceState::Live,
    })
}

async fn run_backend(options: LabBackend) -> eyre::Result<ExitCode> {
    let address = options.listen;
    let backend_options =
        BackendOptions { slots: options.slots, mean_service_ms: options.mean_service_ms, seed: 1 };
    let backend = BackendStandIn::start_on(address, backend_options, RunRecord::default())
        .await
        .map_err(|source| CommandError::Listen { address, source })?;
    print(format_args!("backend server on {}", backend.address));
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}
