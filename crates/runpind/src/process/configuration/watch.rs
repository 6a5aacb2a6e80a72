//! Hearing of versions from the platform: a few instances wait for changes, the others rarely ask.

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

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call; up to as much again is added at random.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two ticks of the actor, and between two looks at who watches.
const TICK: Duration = Duration::from_millis(250);

/// Longest wait of a new instance for the list of instances.
const MEMBERS_WAIT: Duration = Duration::from_secs(2);

/// An instance that does not watch asks the platform once it has heard of no version, not even
/// the one that it has, from anybody for this long; up to as much again is added at random.
const SILENCE: Duration = Duration::from_secs(30);

/// Ends the actor with the daemon, however that ends.
struct StopOnDrop(ActorRef<ConfigurationActor>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.kill();
    }
}

/// Keeps the configuration up to date, for ever.
pub async fn run(process: Arc<Process>, metrics: ConfigurationMetrics) {
    let started = Instant::now();
    while process.members.load().is_none() && started.elapsed() < MEMBERS_WAIT {
        tokio::time::sleep(TICK / 10).await;
    }
    let (actor, join) = ConfigurationActor::new(process.clone(), metrics.clone());
    let actor = ConfigurationActor::spawn(actor);
    let actor = StopOnDrop(actor);
    let actor = &actor.0;
    process.configuration.set_actor(actor.clone());
    if actor.tell(join).await.is_err() {
        return;
    }
    tokio::join!(tick(actor), hear(&process, &metrics, actor));
}

async fn tick(actor: &ActorRef<ConfigurationActor>) {
    while actor.tell(Tick).await.is_ok() {
        tokio::time::sleep(TICK).await;
    }
}

async fn hear(
    process: &Arc<Process>,
    metrics: &ConfigurationMetrics,
    actor: &ActorRef<ConfigurationActor>,
) {
    let fetcher = Fetcher { process: process.clone(), metrics: metrics.clone() };
    let silence = SILENCE.mul_f64(1.0 + rand::rng().random_range(0.0..1.0));
    let mut seen = platform::Version::default();
    let mut asked_at = Instant::now();
    loop {
        let watches = watches(process);
        metrics.watcher.set(i64::from(watches));
        let is_silent = process.configuration.heard_at().max(asked_at).elapsed() >= silence;
        if !watches && !is_silent {
            tokio::time::sleep(TICK).await;
            continue;
        }
        asked_at = Instant::now();
        let wait = if watches { WATCH_WAIT } else { Duration::ZERO };
        match process.store.watch(MANIFEST_KEY, seen, wait).await {
            // A platform whose revision went down was restored: everything is read again.
            Ok(batch) if batch.revision < seen => seen = platform::Version::default(),
            Ok(batch) => {
                seen = batch.revision;
                process.configuration.set_heard_now();
                for object in batch.changed {
                    let outcome = fetcher.load(&object.value, &Source::Platform).await;
                    pass_on(actor, outcome).await;
                }
            }
            Err(error) => {
                pass_on(actor, Err(error.into())).await;
                let added = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(RETRY_PAUSE + added).await;
            }
        }
    }
}

async fn pass_on(actor: &ActorRef<ConfigurationActor>, outcome: Outcome) {
    // The actor ends only with the daemon, which then ends this task too.
    let _ = actor.tell(Fetched { source: Source::Platform, outcome }).await;
}

/// Tells whether this instance watches the platform for its availability zone.
pub fn watches(process: &Process) -> bool {
    let settings = &process.settings;
    let members = process.members.load();
    let in_zone = members
        .iter()
        .flat_map(|members| members.in_zone(&settings.availability_zone))
        .filter(|member| member.usable)
        .map(|member| &*member.name);
    is_watcher(&settings.name, in_zone)
}
