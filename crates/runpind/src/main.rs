//! The `runpind` binary.

use runpind::{Daemon, Dependencies, RawSettings, Settings};
use std::path::Path;
use std::process::ExitCode;
use steering::terms::Timings;
use users_platform::{PlatformClient, PlatformWire};

/// Exit code for an invalid setting.
const EXIT_SETTINGS: u8 = 2;

/// Environment variable with the path of the settings file of an instance on the users' platform.
const SETTINGS_FILE_VARIABLE: &str = "RUNPIN_CONFIG";

fn main() -> ExitCode {
    if let Some(path) = std::env::var_os(SETTINGS_FILE_VARIABLE) {
        return run_entry(Path::new(&path));
    }
    let raw: RawSettings = argh::from_env();
    let settings = match Settings::try_from(raw.or_environment(|name| std::env::var(name).ok())) {
        Ok(settings) => settings,
        Err(error) => return report(&error, EXIT_SETTINGS),
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error, 1),
    }
}

/// Runs an entry instance with the settings file that the users' platform provides.
fn run_entry(path: &Path) -> ExitCode {
    let settings = match entry::Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => return report(&error, EXIT_SETTINGS),
    };
    let timings = Timings::from(&settings.terms);
    let store = PlatformClient::with_timings(settings.store_address, &timings);
    let outcome = entry::process::logging::start().and_then(|()| {
        entry::process::run(path, settings, Box::new(PlatformWire), Box::new(store))
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error, 1),
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    runpind::process::logging::start(settings.log_format)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let dependencies = Dependencies::for_settings(&settings);
        let daemon = Daemon::start(settings, dependencies).await?;
        runpind::process::signal::wait_for_termination().await?;
        daemon.stop().await;
        Ok(())
    })
}

#[expect(clippy::print_stderr, reason = "the one place that reports the error that ends the run")]
fn report(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("runpind: {error}");
    ExitCode::from(code)
}
