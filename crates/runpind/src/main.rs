//! The `runpind` binary.

use runpind::{Daemon, Dependencies, RawSettings, Settings};
use std::process::ExitCode;

/// Exit code when a setting is wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
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

fn run(settings: Settings) -> eyre::Result<()> {
    runpind::process::logging::start(settings.log_format)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let dependencies = Dependencies::for_settings(&settings);
        let daemon = Daemon::start(settings, dependencies).await?;
        runpind::process::signal::terminated().await?;
        daemon.stop().await;
        Ok(())
    })
}

#[expect(clippy::print_stderr, reason = "the one place that reports the error that ends the run")]
fn report(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("runpind: {error}");
    ExitCode::from(code)
}
