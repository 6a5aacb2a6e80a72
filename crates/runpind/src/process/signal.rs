//! Signals that start a planned stop.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_termination() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
