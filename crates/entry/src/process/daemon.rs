//! Starting an instance and running it until it is told to stop.

use super::instance::Instance;
use super::{gossip, stop, watching};
use crate::border::{Store, Subject, Wire};
use crate::connection::listener;
use crate::error::EntryError;
use crate::request;
use crate::settings::Settings;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// Path at which other instances ask for what this one knows.
pub(crate) const KNOWLEDGE_PATH: &str = "/v1/knowledge";

/// Runs an instance until SIGTERM or SIGINT, then stops it in order.
///
/// # Errors
///
/// Fails if an address can't be listened on, or the runtime or logs can't be started.
pub fn run(
    settings: Settings,
    wire: Box<dyn Wire>,
    store: Box<dyn Store>,
) -> Result<(), EntryError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, async {
        let instance = Instance::new(settings, wire, store)?;
        start(&instance).await?;
        until_stopped(&instance).await
    });
    runtime.shutdown_background();
    outcome
}

/// Starts all tasks of an instance on the current local set.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn start(instance: &Rc<Instance>) -> Result<(), EntryError> {
    let settings = &instance.settings;
    log::info!(
        target: "process",
        name = &*settings.name, zone = &*settings.availability_zone,
        caller_address:% = settings.caller_address, version = env!("CARGO_PKG_VERSION");
        "started"
    );
    listener::listen(instance, settings.caller_address, request::answer).await?;
    listener::listen(instance, settings.look_up_address, request::look_up::answer).await?;
    listener::listen(instance, settings.readiness_address, request::readiness::answer).await?;
    listener::listen(instance, settings.peer_address, request::knowledge::answer).await?;
    listener::listen(instance, settings.metrics_address, request::metrics::answer).await?;
    gossip::run(instance.clone()).await?;
    for subject in Subject::ALL {
        spawn_local(watching::follow(instance.clone(), subject));
    }
    Ok(())
}

async fn until_stopped(instance: &Rc<Instance>) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => {
                // Nothing of the settings may change while the process runs; the next start reads
                // them anew.
                log::info!(target: "process", settings = "stay"; "reload asked for");
            }
        }
    }
    stop::run(instance).await;
    Ok(())
}
