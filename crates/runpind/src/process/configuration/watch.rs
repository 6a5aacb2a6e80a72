//! Receives versions from the platform: a few instances watch for changes, the others rarely poll.

use super::fetch::Fetcher;
use super::metrics::ConfigurationMetrics;
use super::{ConfigurationActor, Fetched, Outcome, Tick};
use crate::process::Process;
use ::configuration::MANIFEST_KEY;
use kameo::actor::{ActorRef, Spawn};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use steering::adoption::Source;
use steering::watchers::is_watcher;
use tokio::time::Instant;

/// Maximum wait of one watch call for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Delay after a failed call; a random jitter of up to the same duration is added.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between ticks of the actor, and between checks of whether this instance is a watcher.
const TICK_PERIOD: Duration = Duration::from_millis(250);

/// Maximum wait of a new instance for the list of instances.
const MEMBERS_WAIT: Duration = Duration::from_secs(2);

/// An instance that is not a watcher polls the platform after receiving no version report, not even
/// of its own version, for this long; a random jitter of up to the same duration is added.
const POLL_AFTER_SILENCE: Duration = Duration::from_secs(30);

/// Kills the actor when the daemon's task is dropped.
struct StopOnDrop(ActorRef<ConfigurationActor>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.kill();
    }
}

/// Keeps the configuration up to date until the task is dropped.
pub async fn run(process: Arc<Process>, metrics: ConfigurationMetrics) {
    let started = Instant::now();
    while process.members.load().is_none() && started.elapsed() < MEMBERS_WAIT {
        tokio::time::sleep(TICK_PERIOD / 10).await;
    }
    let (actor, join) = ConfigurationActor::new(process.clone(), metrics.clone());
    let actor = ConfigurationActor::spawn(actor);
    let actor = StopOnDrop(actor);
    let actor = &actor.0;
    process.configuration.set_actor(actor.clone());
    if actor.tell(join).await.is_err() {
        return;
    }
    tokio::join!(tick(actor), receive_changes(&process, &metrics, actor));
}

async fn tick(actor: &ActorRef<ConfigurationActor>) {
    while actor.tell(Tick).await.is_ok() {
        tokio::time::sleep(TICK_PERIOD).await;
    }
}

async fn receive_changes(
    process: &Arc<Process>,
    metrics: &ConfigurationMetrics,
    actor: &ActorRef<ConfigurationActor>,
) {
    let fetcher = Fetcher { process: process.clone(), metrics: metrics.clone() };
    let silence_limit = POLL_AFTER_SILENCE.mul_f64(1.0 + rand::rng().random_range(0.0..1.0));
    let mut cursor = platform::Version::default();
    let mut last_call_at = Instant::now();
    loop {
        let is_watcher = is_platform_watcher(process);
        metrics.watcher.set(i64::from(is_watcher));
        let is_silent =
            process.configuration.last_report_at().max(last_call_at).elapsed() >= silence_limit;
        if !is_watcher && !is_silent {
            tokio::time::sleep(TICK_PERIOD).await;
            continue;
        }
        last_call_at = Instant::now();
        let wait = if is_watcher { WATCH_WAIT } else { Duration::ZERO };
        match process.store.watch(MANIFEST_KEY, cursor, wait).await {
            // A lower revision means that the platform was restored; everything is read again.
            Ok(batch) if batch.revision < cursor => cursor = platform::Version::default(),
            Ok(batch) => {
                cursor = batch.revision;
                process.configuration.record_report_time();
                for object in batch.changed {
                    let outcome = fetcher.load(&object.value, &Source::Platform).await;
                    send_outcome(actor, outcome).await;
                }
            }
            Err(error) => {
                send_outcome(actor, Err(error.into())).await;
                let jitter = RETRY_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(RETRY_DELAY + jitter).await;
            }
        }
    }
}

async fn send_outcome(actor: &ActorRef<ConfigurationActor>, outcome: Outcome) {
    // The actor ends only with the daemon, which also ends this task.
    let _ = actor.tell(Fetched { source: Source::Platform, outcome }).await;
}

/// Returns whether this instance watches the platform for its availability zone.
pub fn is_platform_watcher(process: &Process) -> bool {
    let settings = &process.settings;
    let members = process.members.load();
    let in_zone = members
        .iter()
        .flat_map(|members| members.in_zone(&settings.availability_zone))
        .filter(|member| member.usable)
        .map(|member| &*member.name);
    is_watcher(&settings.name, in_zone)
}
