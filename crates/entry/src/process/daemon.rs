//! Starts an instance and runs it until a signal stops it.

use super::instance::Instance;
use super::listeners::Listeners;
use super::reload::SettingsFile;
use super::{gossip, reach_checks, resync, standstills, stop, store_sync, terms};
use crate::connection::listener;
use crate::connection::open_connections::ListenerKind;
use crate::error::EntryError;
use crate::platform_api::{Store, Subject, Wire};
use crate::request;
use crate::settings::Settings;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use steering::placement::BootstrapDelay;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully; `path` is the settings file.
///
/// # Errors
///
/// Fails if an address can't be bound, or the runtime or the metrics can't be set up.
pub fn run(
    path: &Path,
    settings: Settings,
    wire: Box<dyn Wire>,
    store: Box<dyn Store>,
) -> Result<(), EntryError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, async {
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings).await?;
        let instance = Instance::new(settings, wire, store)?;
        start(&instance, listeners);
        run_until_stopped(&instance, SettingsFile::new(path)).await
    });
    runtime.shutdown_background();
    outcome
}

/// Starts all tasks of an instance on the current local set.
pub fn start(instance: &Rc<Instance>, listeners: Listeners) {
    let settings = &instance.settings;
    log::info!(
        target: "process",
        name = &*settings.name, zone = &*settings.availability_zone,
        caller_address:% = settings.caller_address, version = env!("CARGO_PKG_VERSION");
        "started"
    );
    terms::log_conflicts(&settings.terms);
    let Listeners { callers, look_ups, readiness, peers, operators, gossip } = listeners;
    listener::listen(instance, ListenerKind::Callers, callers, request::handle);
    listener::listen(instance, ListenerKind::LookUps, look_ups, request::lookup::handle);
    listener::listen(instance, ListenerKind::Readiness, readiness, request::readiness::handle);
    listener::listen(instance, ListenerKind::Instances, peers, request::peer_requests::handle);
    listener::listen(instance, ListenerKind::Operators, operators, request::operators::handle);
    let gossip = Rc::new(gossip);
    gossip::run(instance, gossip.clone());
    spawn_local(standstills::run(instance.standstills.clone()));
    spawn_local(resync::run(instance.clone()));
    spawn_local(reach_checks::run(instance.clone()));
    let has_rollouts = settings.exposure.is_some();
    let subjects =
        Subject::ALL.into_iter().filter(|subject| has_rollouts || *subject != Subject::Rollouts);
    let first_list = BootstrapDelay::new(rand::random());
    for subject in subjects {
        let (instance, socket) = (instance.clone(), gossip.clone());
        spawn_local(store_sync::keep_in_sync(instance, socket, subject, first_list));
    }
}

async fn run_until_stopped(
    instance: &Rc<Instance>,
    mut file: SettingsFile,
) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => file.reload(instance, true),
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => file.reload(instance, false),
        }
    }
    stop::run(instance).await;
    Ok(())
}
